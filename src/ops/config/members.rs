//! What the live members have in force, asked at their operators' addresses.

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

/// Time that a member has for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Role of the members that explain requests.
const ROUTER_ROLE: &str = "router";

/// A member as its row says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
struct Member {
    role: String,
    zone: String,
    ops_addr: String,
    state: String,
}

/// Answer of a member's `GET /status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// The member's name.
    pub name: String,
    /// Revision that it has in force.
    pub revision: Revision,
}

/// One member and what it has in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The member's name.
    pub name: String,
    /// What it does.
    pub role: String,
    /// Its availability zone.
    pub zone: String,
    /// Its state as its row says.
    pub state: String,
    /// Its revision; `None` when it doesn't answer.
    pub revision: Option<Revision>,
}

impl Report {
    /// Whether the member is behind `revision` or doesn't answer.
    pub fn lags(&self, revision: Revision) -> bool {
        self.revision.is_none_or(|held| held < revision)
    }
}

/// Asks every live member once.
pub async fn status(platform: &dyn Platform) -> Result<Vec<Report>> {
    let client = client();
    let members = members(platform).await?;
    Ok(join_all(members.into_iter().map(|(name, member)| report(&client, name, member))).await)
}

/// Asks until every live member has `revision` or `limit` is over; the last reports.
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
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Asks a router where a request would go now, and why.
///
/// `router` is an operators' address; without one, the live routers are asked in turn.
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
        match ask(&client, &address, "/explain", &[("team", team), ("model", model)]).await {
            Ok(answer) => return Ok(answer),
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
        // A row stands under its cell's name and the member's.
        let name = row.key.rsplit('/').next().unwrap_or_default().to_owned();
        Ok((name, member))
    });
    members.collect()
}

async fn report(client: &reqwest::Client, name: String, member: Member) -> Report {
    let answer = ask::<StatusAnswer>(client, &member.ops_addr, "/status", &[]).await;
    // An address may have gone to another member since; its answer says nothing about this one.
    let answer = answer.ok().filter(|answer| answer.name == name);
    Report {
        name,
        role: member.role,
        zone: member.zone,
        state: member.state,
        revision: answer.map(|answer| answer.revision),
    }
}

async fn ask<T: serde::de::DeserializeOwned>(
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
    let answer = request.send().await.map_err(failed)?;
    answer.error_for_status().map_err(failed)?.json().await.map_err(failed)
}

fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().timeout(ANSWER_TIMEOUT);
    // The builder fails only where TLS or a resolver can't be set up, and neither is used.
    builder.build().unwrap_or_default()
}
