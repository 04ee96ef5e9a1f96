//! Asks the live members, at their addresses for operators, which revision they have in force and
//! how they would route a request.

use std::time::Duration;

use corianderyoke_coord::register::Revision;
use corianderyoke_platform::Platform;
use futures::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

use super::record::decode;
use super::Error;
use super::Result;
use super::MEMBERS_TABLE;

/// Timeout of one request to a member.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two polls of all members.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two polls for the first member that has a new revision.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit for the first member to have a new revision.
pub const CONFIRM_LIMIT: Duration = Duration::from_secs(3);
/// Role of the members that answer `/explain`.
const ROUTER_ROLE: &str = "router";

/// A member's row.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
struct Member {
    role: String,
    zone: String,
    ops_addr: String,
    state: String,
}

/// Response of a member's `GET /status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusResponse {
    /// The member's name.
    pub name: String,
    /// Revision that the member has in force.
    pub revision: Revision,
}

/// A member's row together with the revision that the member has in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The member's name.
    pub name: String,
    /// The member's role: `router` or `controller`.
    pub role: String,
    /// The member's availability zone.
    pub zone: String,
    /// State in the member's row.
    pub state: String,
    /// Revision that the member has in force; `None` if it doesn't answer.
    pub revision: Option<Revision>,
}

impl Report {
    /// Whether the member is behind `revision` or doesn't answer.
    pub fn lags(&self, revision: Revision) -> bool {
        self.revision.is_none_or(|held| held < revision)
    }
}

/// Asks every live member once for its revision.
pub async fn status(platform: &dyn Platform) -> Result<Vec<Report>> {
    let client = client();
    let members = members(platform).await?;
    Ok(join_all(members.into_iter().map(|(name, member)| report(&client, name, member))).await)
}

/// Tells every live member that `revision` was committed, and polls until one of them has it in force
/// or `limit` has passed. Returns whether one has it, or there is no member.
///
/// Members tell each other, so the revision comes into force everywhere from then on, even if the
/// store goes away.
pub async fn confirm(platform: &dyn Platform, revision: Revision, limit: Duration) -> Result<bool> {
    let client = client();
    let members = members(platform).await?;
    join_all(members.iter().map(|(_, member)| refresh(&client, &member.ops_addr))).await;
    let end = Instant::now() + limit;
    loop {
        let reports = members.iter().cloned();
        let reports = reports.map(|(name, member)| report(&client, name, member));
        let reports = join_all(reports).await;
        let is_held = reports.iter().any(|report| !report.lags(revision));
        if is_held || reports.is_empty() {
            return Ok(true);
        }
        if Instant::now() >= end {
            return Ok(false);
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

async fn refresh(client: &reqwest::Client, address: &str) {
    // A member that doesn't answer learns of the revision at its next poll.
    let _ = client.post(format!("http://{address}/refresh")).send().await;
}

/// Polls until every live member has `revision` or `limit` has passed, and returns the last reports.
pub async fn wait(
    platform: &dyn Platform,
    revision: Revision,
    limit: Duration,
) -> Result<Vec<Report>> {
    let end = Instant::now() + limit;
    loop {
        let reports = status(platform).await;
        let done = match &reports {
            Ok(reports) => reports.iter().all(|report| !report.lags(revision)),
            Err(_) => false,
        };
        if done || Instant::now() >= end {
            return reports;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Asks a router where it would route a request now, and why.
///
/// `router` is an address for operators; without one, the live routers are tried in turn until one
/// answers.
pub async fn explain(
    platform: &dyn Platform,
    router: Option<&str>,
    team: &str,
    model: &str,
) -> Result<Value> {
    let client = client();
    let addresses = match router {
        Some(address) => vec![address.to_owned()],
        None => routers(platform).await?,
    };
    let mut last = Error::NoRouter;
    for address in addresses {
        match get_json(&client, &address, "/explain", &[("team", team), ("model", model)]).await {
            Ok(response) => return Ok(response),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn routers(platform: &dyn Platform) -> Result<Vec<String>> {
    let members = members(platform).await?.into_iter().map(|(_, member)| member);
    let routers = members.filter(|member| member.role == ROUTER_ROLE);
    Ok(routers.map(|member| member.ops_addr).filter(|address| !address.is_empty()).collect())
}

async fn members(platform: &dyn Platform) -> Result<Vec<(String, Member)>> {
    let rows = platform.scan(MEMBERS_TABLE, "", "").await?;
    let members = rows.into_iter().map(|row| {
        let member = decode(MEMBERS_TABLE, &row.key, &row.value)?;
        // The row's key is `CELL/MEMBER`.
        let name = row.key.rsplit('/').next().unwrap_or_default().to_owned();
        Ok((name, member))
    });
    members.collect()
}

async fn report(client: &reqwest::Client, name: String, member: Member) -> Report {
    let response = get_json::<StatusResponse>(client, &member.ops_addr, "/status", &[]).await;
    // Another member may have taken over the address; ignore its response.
    let response = response.ok().filter(|response| response.name == name);
    Report {
        name,
        role: member.role,
        zone: member.zone,
        state: member.state,
        revision: response.map(|response| response.revision),
    }
}

async fn get_json<T: serde::de::DeserializeOwned>(
    client: &reqwest::Client,
    address: &str,
    path: &str,
    query: &[(&str, &str)],
) -> Result<T> {
    let failed = |error: reqwest::Error| Error::Member {
        address: address.to_owned(),
        cause: error.without_url().to_string(),
    };
    let request = client.get(format!("http://{address}{path}")).query(query);
    let response = request.send().await.map_err(failed)?;
    response.error_for_status().map_err(failed)?.json().await.map_err(failed)
}

fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().timeout(RESPONSE_TIMEOUT);
    // The builder fails only if TLS or a resolver can't be set up; neither is used.
    builder.build().unwrap_or_default()
}
