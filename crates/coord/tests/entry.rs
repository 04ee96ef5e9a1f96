//! Tests of the selection of routers for callers.

use corianderyoke_coord::entry::select_routers;
use corianderyoke_coord::entry::Caller;
use corianderyoke_coord::entry::EntrySettings;
use corianderyoke_coord::entry::Router;
use corianderyoke_coord::entry::RouterList;
use corianderyoke_coord::entry::RouterState;
use corianderyoke_coord::keys::ZoneKey;

/// Eight ready routers in four zones.
fn routers() -> Vec<Router> {
    let router = |index: u32| Router {
        name: format!("router-{index}"),
        address: format!("10.0.0.{index}:8080"),
        zone: ZoneKey(index % 4),
        drained: false,
        state: RouterState::Ready,
    };
    (0..8).map(router).collect()
}

fn select(routers: &[Router], team: &str, zone: u32) -> RouterList {
    let caller = Caller { team, zone: Some(ZoneKey(zone)), home_zone: Some(ZoneKey(1)) };
    select_routers(EntrySettings::default(), routers, &caller)
}

#[test]
fn callers_of_a_team_share_routers_near_its_home() {
    let routers = routers();
    let rows = ["depot", "clerks", "crew"].map(|team| {
        let from_home_zone = select(&routers, team, 1).addresses.join(" ");
        let from_other_zone = select(&routers, team, 3).addresses.join(" ");
        format!("{team}: from zone 1 {from_home_zone}, from zone 3 {from_other_zone}")
    });
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn leaving_unready_and_drained_routers_are_not_selected() {
    let mut routers = routers();
    routers[0].state = RouterState::Leaving;
    routers[1].state = RouterState::Unready;
    for router in &mut routers {
        router.drained = router.zone == ZoneKey(2);
    }
    let settings = EntrySettings { max_routers: 8, ..EntrySettings::default() };
    let caller = Caller { team: "depot", zone: None, home_zone: None };
    let mut list = select_routers(settings, &routers, &caller);
    list.addresses.sort();
    assert_eq!(list.addresses, [3, 4, 5, 7].map(|index| format!("10.0.0.{index}:8080")));
    assert_eq!(list.max_age, settings.unsettled_max_age);
}

#[test]
fn removing_a_router_only_changes_the_selections_that_contained_it() {
    let routers = routers();
    let teams: Vec<String> = (0..200).map(|index| format!("team-{index}")).collect();
    let lists = |routers: &[Router]| -> Vec<Vec<String>> {
        let list = |team: &String| {
            let caller = Caller { team, zone: None, home_zone: None };
            select_routers(EntrySettings::default(), routers, &caller).addresses
        };
        teams.iter().map(list).collect()
    };
    let before = lists(&routers);
    let after = lists(&routers[1..]);
    let removed = &routers[0].address;
    for (before, after) in before.iter().zip(&after) {
        if !before.contains(removed) {
            assert_eq!(before, after);
        }
    }
    let used = before.iter().filter(|list| list.contains(removed)).count();
    assert!((40..120).contains(&used), "{used} of 200 teams use one of eight routers");
}
