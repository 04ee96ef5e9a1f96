//! Which routers a caller should use.
//!
//! Only ready routers that stay are named. Callers of a team are steered to the same few routers:
//! ranked by rendezvous hash over the team, those in the zone of the team's home first, so that
//! most of the team's tokens are held where its requests arrive. Routers in the caller's own zone
//! come first among the chosen, and where there are several zones the chosen lie in two of them.

use std::time::Duration;

use crate::hash::rank;
use crate::keys::ZoneKey;

/// State of a router as the members' table and the rules tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterState {
    /// Serves, and may be named.
    Ready,
    /// Starts, or can't serve now.
    Unready,
    /// Goes away.
    Leaving,
}

/// A router that may be named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Router {
    /// Member name; it feeds the rank.
    pub name: String,
    /// Address for callers.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Whether its zone is drained.
    pub drained: bool,
    /// State.
    pub state: RouterState,
}

/// Settings of the entry list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Most routers named for one team.
    pub max_routers: usize,
    /// How long callers keep the answer.
    pub max_age: Duration,
    /// The same, while any router is leaving, unready or drained.
    pub unsettled_max_age: Duration,
}

impl Default for EntrySettings {
    fn default() -> Self {
        EntrySettings {
            max_routers: 3,
            max_age: Duration::from_secs(10),
            unsettled_max_age: Duration::from_secs(2),
        }
    }
}

/// Who asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Caller<'a> {
    /// The team's name; empty for callers on open routes.
    pub team: &'a str,
    /// The caller's zone, where it is known.
    pub zone: Option<ZoneKey>,
    /// Zone of the team's home.
    pub home_zone: Option<ZoneKey>,
}

/// Answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterList {
    /// Addresses, best first; empty while no router is ready.
    pub addresses: Vec<String>,
    /// How long the answer may be kept.
    pub max_age: Duration,
}

/// The routers that a caller should use, best first.
pub fn select_routers(
    settings: EntrySettings,
    routers: &[Router],
    caller: &Caller<'_>,
) -> RouterList {
    let open = routers.iter().filter(|router| router.is_selectable());
    let mut chosen: Vec<&Router> = open.collect();
    let settled = chosen.len() == routers.len();
    chosen.sort_by_cached_key(|router| {
        let far = caller.home_zone.is_some_and(|zone| zone != router.zone);
        (far, u64::MAX - rank(caller.team, &router.name))
    });
    let rest = chosen.split_off(settings.max_routers.min(chosen.len()));
    if let Some(router) = substitute(&chosen, &rest, caller) {
        chosen.pop();
        chosen.push(router);
    }
    chosen.sort_by_key(|router| caller.zone.is_some_and(|zone| zone != router.zone));
    let addresses = chosen.iter().map(|router| router.address.clone()).collect();
    RouterList {
        addresses,
        max_age: if settled { settings.max_age } else { settings.unsettled_max_age },
    }
}

impl Router {
    /// Whether the router may be named.
    pub fn is_selectable(&self) -> bool {
        self.state == RouterState::Ready && !self.drained
    }
}

/// What replaces the last choice: a router in the caller's zone where none is chosen, or one in
/// another zone where all are in the same, so that a zone that is lost leaves the caller one.
fn substitute<'a>(
    chosen: &[&Router],
    rest: &[&'a Router],
    caller: &Caller<'_>,
) -> Option<&'a Router> {
    if chosen.len() < 2 {
        return None;
    }
    let near = |router: &&Router| Some(router.zone) == caller.zone;
    if !chosen.iter().any(near) {
        return rest.iter().copied().find(|router| near(router)).or_else(|| spread(chosen, rest));
    }
    spread(chosen, rest)
}

/// A router outside the one zone of all that are chosen.
fn spread<'a>(chosen: &[&Router], rest: &[&'a Router]) -> Option<&'a Router> {
    let zone = chosen.first()?.zone;
    if chosen.iter().any(|router| router.zone != zone) {
        return None;
    }
    rest.iter().copied().find(|router| router.zone != zone)
}
