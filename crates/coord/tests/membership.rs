//! Membership under faults, several machines against each other.

mod membership_model;

use std::time::Duration;

use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Promises;
use corianderyoke_coord::membership::Settings;
use corianderyoke_coord::time::Tick;
use membership_model::settings;
use membership_model::Cell;
use membership_model::Fault;
use membership_model::Weather;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::proptest;

/// Faults strike within this span, in milliseconds.
const STORM: u64 = 60_000;
/// Cases of an ordinary run.
const CASES: u32 = 64;
/// Time to become whole again after the last fault.
const CALM: u64 = 90_000;

const FAIR: Weather = Weather { seed: 1, lost: 0.0, doubled: 0.0, late: 0.0 };

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..8usize;
    prop_oneof![
        (node.clone(), 100..12_000u64).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        (node.clone(), 100..12_000u64).prop_map(|(n, ms)| Fault::Kill(n, ms)),
        node.clone().prop_map(Fault::Lose),
        (500..30_000u64).prop_map(Fault::StoreDown),
        (500..10_000u64).prop_map(Fault::StoreMute),
        (node.clone(), 500..20_000u64).prop_map(|(n, ms)| Fault::StoreCut(n, ms)),
        (node.clone(), 500..20_000u64).prop_map(|(n, ms)| Fault::PeersCut(n, ms)),
        (node.clone(), node.clone(), 500..20_000u64)
            .prop_map(|(a, b, ms)| Fault::LinkCut(a, b, ms)),
        node.prop_map(Fault::Leave),
    ]
}

fn weather() -> impl Strategy<Value = Weather> {
    let rates = prop_oneof![Just((0.0, 0.0, 0.0)), Just((0.05, 0.05, 0.05)), Just((0.2, 0.1, 0.1))];
    (any::<u64>(), rates).prop_map(|(seed, (lost, doubled, late))| Weather {
        seed,
        lost,
        doubled,
        late,
    })
}

/// Few cases unless `PROPTEST_CASES` asks for a long run.
fn config() -> ProptestConfig {
    let asked = std::env::var_os("PROPTEST_CASES").is_some();
    let base = ProptestConfig { max_shrink_iters: 200, ..ProptestConfig::default() };
    let cases = if asked { base.cases } else { CASES };
    ProptestConfig { cases, failure_persistence: None, ..base }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn never_two_homes_and_whole_after(
        count in 3..=8usize,
        weather in weather(),
        faults in proptest::collection::vec((8_000..STORM, fault()), 0..14),
    ) {
        let mut cell = Cell::new(count, weather, settings());
        for (at, fault) in faults {
            cell.fault(at, fault);
        }
        cell.run(STORM);
        cell.heal();
        cell.run(STORM + CALM);
        cell.assert_whole();
    }
}

#[test]
fn a_cell_forms_and_removes_a_member_that_died() {
    let mut cell = Cell::new(5, FAIR, settings());
    cell.run(20_000);
    cell.assert_whole();
    cell.fault(20_000, Fault::Lose(1));
    cell.run(40_000);
    cell.assert_whole();
}

#[test]
fn an_outage_with_a_member_killed_in_the_middle_stops_nobody() {
    let mut cell = Cell::new(8, FAIR, settings());
    cell.run(20_000);
    let epoch = cell.epoch();
    cell.fault(21_000, Fault::StoreDown(500_000));
    cell.fault(260_500, Fault::Lose(2));
    for second in 21..520 {
        cell.run(second * 1000);
        let alive = if second > 260 { 7 } else { 8 };
        assert_eq!(cell.acting(), alive, "at {second} s");
    }
    assert_eq!(cell.epoch(), epoch);
    cell.run(560_000);
    cell.assert_whole();
}

#[test]
fn past_the_outage_limit_nobody_acts() {
    let mut cell = Cell::new(4, FAIR, settings());
    cell.run(20_000);
    cell.fault(21_000, Fault::StoreDown(700_000));
    cell.run(630_000);
    assert_eq!(cell.acting(), 0);
}

#[test]
fn a_member_that_reaches_peers_but_no_store_is_removed() {
    let mut cell = Cell::new(5, FAIR, settings());
    cell.run(20_000);
    cell.fault(21_000, Fault::StoreCut(3, 20_000));
    cell.run(40_000);
    assert_eq!(cell.acting(), 4);
    cell.run(80_000);
    cell.assert_whole();
}

#[test]
fn a_member_that_reaches_the_store_but_no_peers_leaves() {
    let mut cell = Cell::new(5, FAIR, settings());
    cell.run(20_000);
    cell.fault(21_000, Fault::PeersCut(3, 30_000));
    cell.run(45_000);
    assert_eq!(cell.acting(), 4);
    cell.run(80_000);
    cell.assert_whole();
}

#[test]
fn all_instances_are_replaced_at_once() {
    let mut cell = Cell::new(8, FAIR, settings());
    cell.run(20_000);
    for node in 0..8 {
        cell.fault(21_000, Fault::Kill(node, 200));
    }
    cell.run(60_000);
    cell.assert_whole();
}

/// Share of member seconds that may act in an outage of ten minutes short of ten seconds, and the
/// time from a crash until every home is served again.
fn way(name: &str, settings: Settings) -> String {
    let mut cell = Cell::new(8, FAIR, settings);
    cell.run(20_000);
    cell.fault(20_000, Fault::StoreDown(590_000));
    let acting: usize = (20..610)
        .map(|second| {
            cell.run(second * 1000);
            cell.acting()
        })
        .sum();
    let mut cell = Cell::new(8, FAIR, settings);
    cell.run(20_000);
    cell.fault(20_000, Fault::Lose(1));
    let again = cell.until_whole(1_000_000);
    let share = 100.0 * acting as f64 / (8.0 * 590.0);
    format!("{name}: acts {share:.1}% of an outage, whole {again:?} ms after a crash")
}

#[test]
fn ways_through_an_outage() {
    let short = Settings { outage_limit: Duration::ZERO, ..Settings::default() };
    let long = Settings { lease_duration: Duration::from_secs(600), ..short };
    let lines = [
        way("terms of 3 s alone", short),
        way("terms of 600 s alone", long),
        way("terms of 3 s with promises", Settings::default()),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn costs_and_times() {
    let mut lines = Vec::new();
    for count in [3, 8, 16] {
        let mut cell = Cell::new(count, FAIR, settings());
        cell.run(60_000);
        let (messages, accesses) = (cell.messages, cell.accesses);
        cell.run(160_000);
        let rate = |now: u64, then: u64| (now - then) as f64 / (count as f64 * 100.0);
        let quiet = rate(cell.messages, messages);
        let store = rate(cell.accesses, accesses);
        cell.fault(160_000, Fault::StoreDown(500_000));
        cell.run(200_000);
        let messages = cell.messages;
        cell.run(300_000);
        let outage = rate(cell.messages, messages);
        lines.push(format!(
            "{count} members: {quiet:.1} requests a member and second, {outage:.1} in an outage, \
             {store:.1} store accesses"
        ));
    }
    let mut time = |name: &str, faults: &[Fault]| {
        let mut cell = Cell::new(8, FAIR, settings());
        cell.run(20_000);
        for fault in faults {
            cell.fault(20_000, *fault);
        }
        lines.push(format!("{name}: whole after {:?} ms", cell.until_whole(120_000)));
    };
    time("one leaves and comes back", &[Fault::Leave(1)]);
    time("one dies and comes back at once", &[Fault::Kill(1, 0)]);
    time("one is lost", &[Fault::Lose(1)]);
    time("two are lost", &[Fault::Lose(1), Fault::Lose(4)]);
    time("five are lost", &[0, 1, 3, 4, 6].map(Fault::Lose));
    time("all die and come back at once", &[0, 1, 2, 3, 4, 5, 6, 7].map(|n| Fault::Kill(n, 0)));
    insta::assert_snapshot!(lines.join("\n"));
}

/// A promise at a newer epoch once hid an older one that a majority had counted on.
#[test]
fn a_newer_promise_leaves_the_older_outstanding() {
    let id = MemberId { name: "a".to_owned(), incarnation: 1 };
    let settings = Settings::default();
    let mut promises = Promises::default();
    let (first, second) = (Tick(1_000_000), Tick(1_500_000));
    assert!(promises.promise(first, &id, 3, &settings));
    assert!(promises.promise(second, &id, 4, &settings));
    assert!(!promises.clear(second, 4));
    assert!(promises.clear(first + settings.expiry_wait(), 4));
    assert!(!promises.consent(first + settings.expiry_wait(), &id, 7));
    assert!(promises.consent(second + settings.expiry_wait(), &id, 7));
}
