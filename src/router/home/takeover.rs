//! Starts the homes that move to this router and stops those that move away.
//!
//! A home may serve once every member of the view has acknowledged the epoch, so that the previous
//! home has stopped granting. The new home then requests from all members what the previous home
//! had left and what each router holds, and starts from this inventory.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::HomeState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::View;
use corianderyoke_coord::pools::Account;
use corianderyoke_coord::pools::Handover;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::router::home::tokens::Report;
use crate::router::limit::from_wire;
use crate::router::limit::to_wire;
use crate::router::start::DISPATCH;
use crate::router::Router;
use crate::util::events;
use crate::util::events::Event;

/// Interval between checks for homes that moved here.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Longest wait for one member's takeover response.
const PART_WITHIN: Duration = Duration::from_secs(1);

/// Starts homes and drops expired members as the view changes, until the task is dropped.
pub async fn run(router: Arc<Router>) {
    let mut members: Vec<MemberId> = Vec::new();
    loop {
        let view = router.agent.view();
        let now: Vec<MemberId> = view.members.iter().map(|member| member.id.clone()).collect();
        for gone in members.iter().filter(|id| !now.contains(id)) {
            let key = router.homes.names.member(gone);
            router.homes.tokens.lapse(key);
            router.homes.dispatch.lapse(&router, key);
        }
        members = now;
        let teams = owned_teams(&router);
        let dispatch = owns(&router, Kind::Dispatch, DISPATCH) && !router.homes.dispatch.runs();
        if dispatch || !teams.is_empty() {
            take(&router, &view, teams, dispatch).await;
        }
        sleep(LOOK_EVERY).await;
    }
}

fn owns(router: &Router, kind: Kind, name: &str) -> bool {
    router.agent.home_state(kind, name) == HomeState::Serving
}

/// Teams whose home is this router and that have no bucket here yet.
fn owned_teams(router: &Router) -> Vec<String> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let teams = register.teams.keys();
    teams
        .filter(|team| owns(router, Kind::Bucket, team) && !router.homes.tokens.holds(team))
        .cloned()
        .collect()
}

async fn take(router: &Arc<Router>, view: &View, teams: Vec<String>, dispatch: bool) {
    let ask = peer::TakeoverRequest { epoch: view.epoch, teams: teams.clone(), dispatch };
    let routers = view.members.iter().filter(|member| member.role == Role::Router);
    let asked = routers.map(|member| part(router, member.id.clone(), ask.clone()));
    let parts = futures::future::join_all(asked).await;
    let parts: Option<Vec<(MemberId, peer::TakeoverResponse)>> = parts.into_iter().collect();
    // If a response is missing, the next check repeats the takeover. Nothing is granted until then.
    let Some(parts) = parts else {
        return;
    };
    if router.agent.view().epoch != view.epoch {
        return;
    }
    for team in &teams {
        start_team(router, view.epoch, team, &parts);
    }
    if dispatch {
        router.homes.dispatch.start(router, view.epoch, &parts);
    }
    let detail = format_args!("epoch={} teams={} dispatch={dispatch}", view.epoch, teams.len());
    events::log(Event::HomeMoved, detail);
}

async fn part(
    router: &Arc<Router>,
    member: MemberId,
    ask: peer::TakeoverRequest,
) -> Option<(MemberId, peer::TakeoverResponse)> {
    let answer = router.call_member(&member, Call::Takeover(ask), PART_WITHIN).await?;
    match answer {
        Answer::Takeover(part) if part.ready => Some((member, part)),
        _ => None,
    }
}

fn start_team(
    router: &Router,
    epoch: u64,
    team: &str,
    parts: &[(MemberId, peer::TakeoverResponse)],
) {
    let Some(limits) = router.rate(team) else {
        return;
    };
    let names = &router.homes.names;
    let mut reports = Vec::new();
    let mut handed = None;
    for (member, part) in parts {
        let found = part.teams.iter().find(|part| part.team == team);
        let counters = found.and_then(|part| part.counters).unwrap_or_default();
        reports.push(Report { member: names.member(member), counters: from_wire(counters) });
        handed = handed.or_else(|| found.and_then(|part| part.handover.clone()));
    }
    let handed = handed.map(|handed| from_wire_handover(router, handed));
    router.homes.tokens.start(team, epoch, limits, handed, &reports);
}

/// Stops the homes that move to the requester and returns this member's part of the inventory. The
/// requester may be this router.
pub fn answer(router: &Router, ask: &peer::TakeoverRequest) -> peer::TakeoverResponse {
    if router.agent.view().epoch != ask.epoch {
        return peer::TakeoverResponse::default();
    }
    let part = |team: &String| peer::TeamPart {
        team: team.clone(),
        handover: router.homes.tokens.stop(team).map(|handed| to_wire_handover(router, handed)),
        counters: Some(to_wire(router.limits.follow(team, ask.epoch))),
    };
    let teams = ask.teams.iter().map(part).collect();
    if !ask.dispatch {
        return peer::TakeoverResponse { ready: true, teams, ..Default::default() };
    }
    router.homes.dispatch.stop();
    let slots = router.held.inventory();
    let bounds = router.held.bounds();
    let replicas = Some(router.homes.dispatch.newest());
    peer::TakeoverResponse { ready: true, teams, slots, replicas, bounds }
}

fn to_wire_handover(router: &Router, handed: Handover) -> peer::Handover {
    let names = &router.homes.names.members;
    let accounts = handed.accounts.iter().map(|(member, account)| peer::Account {
        member: names.name(*member),
        counters: Some(to_wire(account.counters)),
    });
    peer::Handover { level: handed.level, accounts: accounts.collect() }
}

fn from_wire_handover(router: &Router, handed: peer::Handover) -> Handover {
    let names = &router.homes.names.members;
    let accounts: IndexMap<_, _> = handed
        .accounts
        .into_iter()
        .map(|account| {
            let counters = from_wire(account.counters.unwrap_or_default());
            (names.key(&account.member), Account { counters, ..Account::default() })
        })
        .collect();
    Handover { level: handed.level, accounts }
}
