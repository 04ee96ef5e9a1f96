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
use corianderyoke_wire::peer::request::Body as PeerRequest;
use corianderyoke_wire::peer::response::Body as PeerResponse;
use indexmap::IndexMap;
use tokio::time::sleep;

use crate::router::home::tokens::MemberCounters;
use crate::router::limit::counters_from_wire;
use crate::router::limit::counters_to_wire;
use crate::router::slots::CELL_RESOURCE;
use crate::router::Router;
use crate::util::events;
use crate::util::events::Event;

/// Interval between checks for homes that moved here.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for one member's takeover response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts homes and drops expired members as the view changes, until the task is dropped.
pub async fn run(router: Arc<Router>) {
    let mut known: Vec<MemberId> = Vec::new();
    loop {
        let view = router.agent.view();
        let current: Vec<MemberId> = view.members.iter().map(|member| member.id.clone()).collect();
        for removed in known.iter().filter(|id| !current.contains(id)) {
            let key = router.homes.names.member(removed);
            router.homes.tokens.remove_member(key);
            router.homes.dispatch.remove_member(&router, key);
        }
        known = current;
        let teams = unstarted_teams(&router);
        let dispatch =
            is_home(&router, Kind::Dispatch, CELL_RESOURCE) && !router.homes.dispatch.is_running();
        if dispatch || !teams.is_empty() {
            take_over(&router, &view, teams, dispatch).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn is_home(router: &Router, kind: Kind, name: &str) -> bool {
    router.agent.home_state(kind, name) == HomeState::Serving
}

/// Teams whose home is this router and that have no bucket here yet.
fn unstarted_teams(router: &Router) -> Vec<String> {
    let Some(register) = router.agent.config() else {
        return Vec::new();
    };
    let teams = register.teams.keys();
    teams
        .filter(|team| is_home(router, Kind::Bucket, team) && !router.homes.tokens.has_bucket(team))
        .cloned()
        .collect()
}

async fn take_over(router: &Arc<Router>, view: &View, teams: Vec<String>, dispatch: bool) {
    let request = peer::TakeoverRequest { epoch: view.epoch, teams: teams.clone(), dispatch };
    let routers = view.members.iter().filter(|member| member.role == Role::Router);
    let requests =
        routers.map(|member| request_inventory(router, member.id.clone(), request.clone()));
    let responses = futures::future::join_all(requests).await;
    let responses: Option<Vec<(MemberId, peer::TakeoverResponse)>> =
        responses.into_iter().collect();
    // If a response is missing, the next check repeats the takeover. Nothing is granted until then.
    let Some(responses) = responses else {
        return;
    };
    if router.agent.view().epoch != view.epoch {
        return;
    }
    for team in &teams {
        start_team(router, view.epoch, team, &responses);
    }
    if dispatch {
        router.homes.dispatch.start(router, view.epoch, &responses);
    }
    let detail = format_args!("epoch={} teams={} dispatch={dispatch}", view.epoch, teams.len());
    events::log(Event::HomeMoved, detail);
}

async fn request_inventory(
    router: &Arc<Router>,
    member: MemberId,
    request: peer::TakeoverRequest,
) -> Option<(MemberId, peer::TakeoverResponse)> {
    let response =
        router.call_member(&member, PeerRequest::Takeover(request), RESPONSE_TIMEOUT).await?;
    match response {
        PeerResponse::Takeover(response) if response.ready => Some((member, response)),
        _ => None,
    }
}

fn start_team(
    router: &Router,
    epoch: u64,
    team: &str,
    responses: &[(MemberId, peer::TakeoverResponse)],
) {
    let Some(limits) = router.rate_limit(team) else {
        return;
    };
    let names = &router.homes.names;
    let mut inventory = Vec::new();
    let mut handover = None;
    for (member, response) in responses {
        let team_part = response.teams.iter().find(|part| part.team == team);
        let counters = team_part.and_then(|part| part.counters).unwrap_or_default();
        inventory.push(MemberCounters {
            member: names.member(member),
            counters: counters_from_wire(counters),
        });
        handover = handover.or_else(|| team_part.and_then(|part| part.handover.clone()));
    }
    let handover = handover.map(|handover| handover_from_wire(router, handover));
    router.homes.tokens.start(team, epoch, limits, handover, &inventory);
}

/// Stops the homes that move to the requester and returns this member's part of the inventory. The
/// requester may be this router.
pub fn answer(router: &Router, request: &peer::TakeoverRequest) -> peer::TakeoverResponse {
    if router.agent.view().epoch != request.epoch {
        return peer::TakeoverResponse::default();
    }
    let team_part = |team: &String| peer::TeamPart {
        team: team.clone(),
        handover: router.homes.tokens.stop(team).map(|handover| handover_to_wire(router, handover)),
        counters: Some(counters_to_wire(router.limiter.switch_home(team, request.epoch))),
    };
    let teams = request.teams.iter().map(team_part).collect();
    if !request.dispatch {
        return peer::TakeoverResponse { ready: true, teams, ..Default::default() };
    }
    router.homes.dispatch.stop();
    let slots = router.held_slots.inventory();
    let bounds = router.held_slots.bounds();
    let replicas = Some(router.homes.dispatch.newest_replicas());
    peer::TakeoverResponse { ready: true, teams, slots, replicas, bounds }
}

fn handover_to_wire(router: &Router, handover: Handover) -> peer::Handover {
    let names = &router.homes.names.members;
    let accounts = handover.accounts.iter().map(|(member, account)| peer::Account {
        member: names.name(*member),
        counters: Some(counters_to_wire(account.counters)),
    });
    peer::Handover { level: handover.level, accounts: accounts.collect() }
}

fn handover_from_wire(router: &Router, handover: peer::Handover) -> Handover {
    let names = &router.homes.names.members;
    let accounts: IndexMap<_, _> = handover
        .accounts
        .into_iter()
        .map(|account| {
            let counters = counters_from_wire(account.counters.unwrap_or_default());
            (names.key(&account.member), Account { counters, ..Account::default() })
        })
        .collect();
    Handover { level: handover.level, accounts }
}
