//! Selection of the routers that a caller should use.
//!
//! Only routers that are ready, not leaving and not drained are selected. All callers of a team get
//! the same few routers, so that most of the team's tokens are held where its requests arrive. The
//! routers are ranked by rendezvous hash over the team, with those in the zone of the team's home
//! first. Among the selected routers, those in the caller's zone come first. A selection of two
//! or more routers covers two zones where possible.

use std::time::Duration;

use crate::hash::rank;
use crate::keys::ZoneKey;

/// Readiness of a router, from the membership table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterState {
    /// Serves requests and may be selected.
    Ready,
    /// Is starting, or can't serve at the moment.
    Unready,
    /// Is shutting down.
    Leaving,
}

/// A router that may be selected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Router {
    /// Member name, the input of the rendezvous hash.
    pub name: String,
    /// Address that callers connect to.
    pub address: String,
    /// Availability zone it runs in.
    pub zone: ZoneKey,
    /// Whether its zone is drained.
    pub drained: bool,
    /// Readiness; only ready routers are selected.
    pub state: RouterState,
}

/// Settings of [`select_routers`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Maximum number of routers selected for one team.
    pub max_routers: usize,
    /// How long callers may cache the list.
    pub max_age: Duration,
    /// How long callers may cache the list while any router is leaving, unready or drained.
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

/// The caller that asks for routers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Caller<'a> {
    /// The team's name; empty for callers on open routes.
    pub team: &'a str,
    /// The caller's zone, where it is known.
    pub zone: Option<ZoneKey>,
    /// Zone of the router that is the home of the team's token bucket, where it is known.
    pub home_zone: Option<ZoneKey>,
}

/// The routers selected for a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterList {
    /// Addresses, best first; empty while no router is ready.
    pub addresses: Vec<String>,
    /// How long the caller may cache the list.
    pub max_age: Duration,
}

/// Selects the routers that a caller should use, best first.
pub fn select_routers(
    settings: EntrySettings,
    routers: &[Router],
    caller: &Caller<'_>,
) -> RouterList {
    let selectable = routers.iter().filter(|router| router.is_selectable());
    let mut chosen: Vec<&Router> = selectable.collect();
    let all_selectable = chosen.len() == routers.len();
    chosen.sort_by_cached_key(|router| {
        let outside_home = caller.home_zone.is_some_and(|zone| zone != router.zone);
        (outside_home, u64::MAX - rank(caller.team, &router.name))
    });
    let rest = chosen.split_off(settings.max_routers.min(chosen.len()));
    if let Some(router) = zone_replacement(&chosen, &rest, caller) {
        chosen.pop();
        chosen.push(router);
    }
    chosen.sort_by_key(|router| caller.zone.is_some_and(|zone| zone != router.zone));
    let addresses = chosen.iter().map(|router| router.address.clone()).collect();
    RouterList {
        addresses,
        max_age: if all_selectable { settings.max_age } else { settings.unsettled_max_age },
    }
}

impl Router {
    /// Whether the router may be selected.
    pub fn is_selectable(&self) -> bool {
        self.state == RouterState::Ready && !self.drained
    }
}

/// The router that replaces the last selected one: a router in the caller's zone if none is
/// selected, or one in another zone if all are in the same zone, so that the loss of one zone
/// leaves the caller a router.
fn zone_replacement<'a>(
    chosen: &[&Router],
    rest: &[&'a Router],
    caller: &Caller<'_>,
) -> Option<&'a Router> {
    if chosen.len() < 2 {
        return None;
    }
    let in_caller_zone = |router: &&Router| Some(router.zone) == caller.zone;
    if !chosen.iter().any(in_caller_zone) {
        return rest
            .iter()
            .copied()
            .find(|router| in_caller_zone(router))
            .or_else(|| outside_common_zone(chosen, rest));
    }
    outside_common_zone(chosen, rest)
}

/// The first router of `rest` outside the zone that all chosen routers share; `None` if they don't
/// share one.
fn outside_common_zone<'a>(chosen: &[&Router], rest: &[&'a Router]) -> Option<&'a Router> {
    let zone = chosen.first()?.zone;
    if chosen.iter().any(|router| router.zone != zone) {
        return None;
    }
    rest.iter().copied().find(|router| router.zone != zone)
}
