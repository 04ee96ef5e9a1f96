//! Runs several membership state machines against each other under faults.

mod membership_model;

use std::time::Duration;

use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::Promises;
use corianderyoke_coord::membership::Settings;
use corianderyoke_coord::time::Tick;
use membership_model::settings;
use membership_model::Cell;
use membership_model::Fault;
use membership_model::Network;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::proptest;

/// Time by which the last fault is injected, in milliseconds.
const FAULTS_END_MS: u64 = 60_000;
/// Cases of a run without `PROPTEST_CASES`.
const DEFAULT_CASES: u32 = 64;
/// Time to converge after the last fault, in milliseconds.
const RECOVERY_MS: u64 = 90_000;

const RELIABLE: Network = Network { seed: 1, lost: 0.0, duplicated: 0.0, delayed: 0.0 };

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..8usize;
    prop_oneof![
        (node.clone(), 100..12_000u64).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        (node.clone(), 100..12_000u64).prop_map(|(n, ms)| Fault::Restart(n, ms)),
        node.clone().prop_map(Fault::LoseInstance),
        (500..30_000u64).prop_map(Fault::StoreDown),
        (500..10_000u64).prop_map(Fault::StoreLosesAnswers),
        (node.clone(), 500..20_000u64).prop_map(|(n, ms)| Fault::StoreUnreachable(n, ms)),
        (node.clone(), 500..20_000u64).prop_map(|(n, ms)| Fault::PeersUnreachable(n, ms)),
        (node.clone(), node.clone(), 500..20_000u64)
            .prop_map(|(a, b, ms)| Fault::LinkCut(a, b, ms)),
        node.prop_map(Fault::Leave),
    ]
}

fn network() -> impl Strategy<Value = Network> {
    let rates = prop_oneof![Just((0.0, 0.0, 0.0)), Just((0.05, 0.05, 0.05)), Just((0.2, 0.1, 0.1))];
    (any::<u64>(), rates).prop_map(|(seed, (lost, duplicated, delayed))| Network {
        seed,
        lost,
        duplicated,
        delayed,
    })
}

/// Runs [`DEFAULT_CASES`] cases unless `PROPTEST_CASES` is set.
fn config() -> ProptestConfig {
    let overridden = std::env::var_os("PROPTEST_CASES").is_some();
    let base = ProptestConfig { max_shrink_iters: 200, ..ProptestConfig::default() };
    let cases = if overridden { base.cases } else { DEFAULT_CASES };
    ProptestConfig { cases, failure_persistence: None, ..base }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn resources_have_one_home_and_the_cell_converges(
        count in 3..=8usize,
        network in network(),
        faults in proptest::collection::vec((8_000..FAULTS_END_MS, fault()), 0..14),
    ) {
        let mut cell = Cell::new(count, network, settings());
        for (at, fault) in faults {
            cell.fault(at, fault);
        }
        cell.run(FAULTS_END_MS);
        cell.clear_faults();
        cell.run(FAULTS_END_MS + RECOVERY_MS);
        cell.assert_converged();
    }
}

#[test]
fn a_cell_forms_and_removes_a_dead_member() {
    let mut cell = Cell::new(5, RELIABLE, settings());
    cell.run(20_000);
    cell.assert_converged();
    cell.fault(20_000, Fault::LoseInstance(1));
    cell.run(40_000);
    cell.assert_converged();
}

#[test]
fn live_members_keep_acting_through_a_store_outage_and_a_crash() {
    let mut cell = Cell::new(8, RELIABLE, settings());
    cell.run(20_000);
    let epoch = cell.epoch();
    cell.fault(21_000, Fault::StoreDown(500_000));
    cell.fault(260_500, Fault::LoseInstance(2));
    for second in 21..520 {
        cell.run(second * 1000);
        let alive = if second > 260 { 7 } else { 8 };
        assert_eq!(cell.acting(), alive, "at {second} s");
    }
    assert_eq!(cell.epoch(), epoch);
    cell.run(560_000);
    cell.assert_converged();
}

#[test]
fn no_member_acts_past_the_outage_limit() {
    let mut cell = Cell::new(4, RELIABLE, settings());
    cell.run(20_000);
    cell.fault(21_000, Fault::StoreDown(700_000));
    cell.run(630_000);
    assert_eq!(cell.acting(), 0);
}

#[test]
fn a_member_without_the_store_is_removed() {
    let mut cell = Cell::new(5, RELIABLE, settings());
    cell.run(20_000);
    cell.fault(21_000, Fault::StoreUnreachable(3, 20_000));
    cell.run(40_000);
    assert_eq!(cell.acting(), 4);
    cell.run(80_000);
    cell.assert_converged();
}

#[test]
fn a_member_without_its_peers_leaves() {
    let mut cell = Cell::new(5, RELIABLE, settings());
    cell.run(20_000);
    cell.fault(21_000, Fault::PeersUnreachable(3, 30_000));
    cell.run(45_000);
    assert_eq!(cell.acting(), 4);
    cell.run(80_000);
    cell.assert_converged();
}

#[test]
fn a_cell_converges_after_all_members_restart() {
    let mut cell = Cell::new(8, RELIABLE, settings());
    cell.run(20_000);
    for node in 0..8 {
        cell.fault(21_000, Fault::Restart(node, 200));
    }
    cell.run(60_000);
    cell.assert_converged();
}

/// Measures the share of member seconds with a valid lease during a store outage of 590 s (ten
/// minutes less ten seconds), and the time from a crash until every resource is served again.
fn measure_outage(name: &str, settings: Settings) -> String {
    let mut cell = Cell::new(8, RELIABLE, settings);
    cell.run(20_000);
    cell.fault(20_000, Fault::StoreDown(590_000));
    let acting: usize = (20..610)
        .map(|second| {
            cell.run(second * 1000);
            cell.acting()
        })
        .sum();
    let mut cell = Cell::new(8, RELIABLE, settings);
    cell.run(20_000);
    cell.fault(20_000, Fault::LoseInstance(1));
    let recovery_ms = cell.time_to_convergence(1_000_000);
    let share = 100.0 * acting as f64 / (8.0 * 590.0);
    format!(
        "{name}: valid for {share:.1}% of an outage, converged {recovery_ms:?} ms after a crash"
    )
}

#[test]
fn lease_policies_during_an_outage() {
    let short_leases = Settings { outage_limit: Duration::ZERO, ..Settings::default() };
    let long_leases = Settings { lease_duration: Duration::from_secs(600), ..short_leases };
    let lines = [
        measure_outage("leases of 3 s without promises", short_leases),
        measure_outage("leases of 600 s without promises", long_leases),
        measure_outage("leases of 3 s with promises", Settings::default()),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn message_rates_and_recovery_times() {
    let mut lines = Vec::new();
    for count in [3, 8, 16] {
        let mut cell = Cell::new(count, RELIABLE, settings());
        cell.run(60_000);
        let (messages, accesses) = (cell.messages, cell.accesses);
        cell.run(160_000);
        let rate = |now: u64, then: u64| (now - then) as f64 / (count as f64 * 100.0);
        let normal = rate(cell.messages, messages);
        let store = rate(cell.accesses, accesses);
        cell.fault(160_000, Fault::StoreDown(500_000));
        cell.run(200_000);
        let messages = cell.messages;
        cell.run(300_000);
        let outage = rate(cell.messages, messages);
        lines.push(format!(
            "{count} members: {normal:.1} requests per member and second, {outage:.1} in an \
             outage, {store:.1} store accesses"
        ));
    }
    let mut measure_recovery = |name: &str, faults: &[Fault]| {
        let mut cell = Cell::new(8, RELIABLE, settings());
        cell.run(20_000);
        for fault in faults {
            cell.fault(20_000, *fault);
        }
        lines.push(format!("{name}: converged after {:?} ms", cell.time_to_convergence(120_000)));
    };
    measure_recovery("one member leaves and rejoins", &[Fault::Leave(1)]);
    measure_recovery("one member restarts", &[Fault::Restart(1, 0)]);
    measure_recovery("one member dies", &[Fault::LoseInstance(1)]);
    measure_recovery("two members die", &[Fault::LoseInstance(1), Fault::LoseInstance(4)]);
    measure_recovery("five members die", &[0, 1, 3, 4, 6].map(Fault::LoseInstance));
    measure_recovery(
        "all members restart",
        &[0, 1, 2, 3, 4, 5, 6, 7].map(|n| Fault::Restart(n, 0)),
    );
    insta::assert_snapshot!(lines.join("\n"));
}

/// A promise at a newer epoch must not replace an older one that a majority may have counted on.
/// Otherwise this process acknowledges the newer view as clear of earlier promises while the older
/// promise still extends a lease.
#[test]
fn a_newer_promise_keeps_the_older_one_outstanding() {
    let id = MemberId { name: "a".to_owned(), incarnation: 1 };
    let settings = Settings::default();
    let mut promises = Promises::default();
    let (first, second) = (Tick(1_000_000), Tick(1_500_000));
    assert!(promises.grant_promise(first, &id, 3, &settings));
    assert!(promises.grant_promise(second, &id, 4, &settings));
    assert!(!promises.none_before(second, 4));
    assert!(promises.none_before(first + settings.expiry_wait(), 4));
    assert!(!promises.grant_consent(first + settings.expiry_wait(), &id, 7));
    assert!(promises.grant_consent(second + settings.expiry_wait(), &id, 7));
}
