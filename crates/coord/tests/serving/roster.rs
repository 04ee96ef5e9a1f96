//! Tests of the tracking of live daemons.

use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_coord::serving::roster::fingerprint;
use corianderyoke_coord::serving::roster::Daemon;
use corianderyoke_coord::serving::roster::Fitness;
use corianderyoke_coord::serving::roster::Roster;

use crate::fixtures::ms;

fn daemon(name: &str, incarnation: u64) -> Daemon {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let zone = "a".to_owned();
    let name = name.to_owned();
    Daemon { name, incarnation, peers: address, callers: address, zone, capacity: 1 }
}

fn ready(roster: &Roster, at: u64) -> Vec<String> {
    roster.ready(ms(at)).map(|daemon| daemon.name.clone()).collect()
}

#[test]
fn only_live_and_ready_daemons_are_returned() {
    let mut roster = Roster::default();
    roster.apply_rows(vec![daemon("row", 1)], ms(0));
    roster.record_report(daemon("ready", 1), Fitness::Ready, ms(0));
    roster.record_report(daemon("starting", 1), Fitness::Unready, ms(0));
    roster.record_report(daemon("leaving", 1), Fitness::Leaving, ms(0));
    assert_eq!(ready(&roster, 100), ["ready"]);
    assert_eq!(ready(&roster, 1_500), Vec::<String>::new());
    assert_eq!(roster.size(), 5);
}

#[test]
fn fingerprint_replaces_report_of_known_process() {
    let mut roster = Roster::default();
    roster.record_report(daemon("d2", 1), Fitness::Ready, ms(0));
    roster.record_report(daemon("d3", 1), Fitness::Ready, ms(0));
    let own = daemon("d1", 1);
    let fingerprints =
        [fingerprint(&own, Fitness::Ready), fingerprint(&daemon("d2", 1), Fitness::Ready)];
    assert!(!roster.record_fingerprints(&fingerprints, &own, ms(1_400)));
    assert_eq!(ready(&roster, 1_600), ["d2"]);
    // The daemon restarted, so nothing is known about its process.
    let restarted = fingerprint(&daemon("d2", 2), Fitness::Ready);
    assert!(roster.record_fingerprints(&[restarted], &own, ms(2_800)));
    assert_eq!(ready(&roster, 3_000), Vec::<String>::new());
}

#[test]
fn fingerprint_shows_fitness_of_process_known_from_its_row() {
    let mut roster = Roster::default();
    let own = daemon("own", 1);
    roster.apply_rows(vec![daemon("d", 1)], ms(0));
    let mut ready_after = |fitness, at| {
        assert!(!roster.record_fingerprints(
            &[fingerprint(&daemon("d", 1), fitness)],
            &own,
            ms(at)
        ));
        ready(&roster, at)
    };
    assert_eq!(ready_after(Fitness::Ready, 100), ["d"]);
    assert_eq!(ready_after(Fitness::Unready, 200), Vec::<String>::new());
    assert_eq!(ready_after(Fitness::Ready, 300), ["d"]);
    assert_eq!(ready_after(Fitness::Leaving, 400), Vec::<String>::new());
    // The digest was composed before the relay learned that the daemon is leaving.
    assert_eq!(ready_after(Fitness::Ready, 500), Vec::<String>::new());
}

#[test]
fn digests_of_a_fleet_that_starts_are_small_and_describe_every_daemon() {
    let mut relay = Roster::default();
    let all: Vec<Daemon> = (0..510).map(|index| daemon(&format!("d{index}"), 1)).collect();
    for other in &all {
        relay.record_report(other.clone(), Fitness::Ready, ms(0));
    }
    let mut other = Roster::default();
    let mut digests = 0;
    while other.size() < all.len() + 1 {
        digests += 1;
        let at = digests * 50;
        let described = relay.take_descriptions(ms(at));
        assert!(described.len() <= 28, "{}", described.len());
        for (daemon, fitness) in described {
            other.record_report(daemon, fitness, ms(at));
        }
        assert!(digests < 30, "{} known", other.size());
    }
}

#[test]
fn change_is_described_repeatedly_and_before_unchanged_daemons() {
    let mut relay = Roster::default();
    let at_start = |relay: &mut Roster, at| {
        for index in 0..100 {
            relay.record_report(daemon(&format!("d{index}"), 1), Fitness::Ready, ms(at));
        }
    };
    at_start(&mut relay, 0);
    for at in (0..4_000).step_by(200) {
        at_start(&mut relay, at);
        relay.take_descriptions(ms(at));
    }
    relay.record_report(daemon("d50", 2), Fitness::Unready, ms(4_000));
    let described = (4_000..5_400).step_by(200).filter(|at| {
        at_start(&mut relay, *at);
        let described = relay.take_descriptions(ms(*at));
        assert!(described.len() <= 5, "{}", described.len());
        described.iter().any(|(daemon, _)| daemon.incarnation == 2)
    });
    assert_eq!(described.count(), 7);
}

#[test]
fn timeout_is_returned_once() {
    let mut roster = Roster::default();
    roster.apply_rows(vec![daemon("never heard", 1)], ms(0));
    for start in [0, 10_000] {
        roster.record_report(daemon("d", 1), Fitness::Ready, ms(start));
        assert_eq!(roster.take_timed_out(ms(start + 1_400)), Vec::<String>::new());
        assert_eq!(roster.take_timed_out(ms(start + 1_600)), ["d"]);
        assert_eq!(roster.take_timed_out(ms(start + 1_700)), Vec::<String>::new());
    }
}

#[test]
fn report_of_earlier_incarnation_is_ignored() {
    let mut roster = Roster::default();
    assert!(roster.record_report(daemon("d", 2), Fitness::Ready, ms(0)));
    assert!(!roster.record_report(daemon("d", 1), Fitness::Leaving, ms(10)));
    assert_eq!(ready(&roster, 20), ["d"]);
    assert!(roster.record_report(daemon("d", 3), Fitness::Ready, ms(30)));
}

#[test]
fn timed_out_daemon_without_row_is_removed() {
    let mut roster = Roster::default();
    roster.record_report(daemon("d", 1), Fitness::Ready, ms(0));
    roster.apply_rows(Vec::new(), ms(1_000));
    assert_eq!(roster.size(), 2);
    roster.apply_rows(Vec::new(), ms(2_000));
    assert_eq!(roster.size(), 1);
}

#[test]
fn live_fraction_includes_this_daemon() {
    let mut roster = Roster::default();
    roster.apply_rows(vec![daemon("d2", 1), daemon("d3", 1), daemon("d4", 1)], ms(0));
    roster.record_report(daemon("d2", 1), Fitness::Ready, ms(0));
    assert_eq!(roster.live_fraction(ms(100)), 0.5);
    let silent: Vec<_> = roster.silent_for(Duration::from_secs(30), ms(31_000)).collect();
    assert_eq!(silent.len(), 3);
}

#[test]
fn all_daemons_select_same_relays_on_largest_instances() {
    let all: Vec<Daemon> = (0..20)
        .map(|index| Daemon { capacity: 1 + index % 4, ..daemon(&format!("d{index}"), 1) })
        .collect();
    let relays = all.iter().map(|own| {
        let mut roster = Roster::default();
        for other in all.iter().filter(|other| other.name != own.name) {
            roster.record_report(other.clone(), Fitness::Ready, ms(0));
        }
        let relays = roster.relays(own, 2, ms(100));
        assert!(relays.iter().all(|relay| relay.capacity == 4));
        relays.into_iter().map(|relay| relay.name).collect::<Vec<_>>()
    });
    let relays: Vec<Vec<String>> = relays.collect();
    assert!(relays.iter().all(|names| *names == relays[0]), "{relays:?}");
}

#[test]
fn timed_out_relay_is_replaced() {
    let mut roster = Roster::default();
    let large = Daemon { capacity: 9, ..daemon("large", 1) };
    roster.record_report(large, Fitness::Ready, ms(0));
    roster.record_report(daemon("small", 1), Fitness::Ready, ms(1_000));
    let names = |at| -> Vec<String> {
        let relays = roster.relays(&daemon("own", 1), 1, ms(at));
        relays.into_iter().map(|relay| relay.name).collect()
    };
    assert_eq!(names(1_400), ["large"]);
    assert_ne!(names(1_600), ["large"]);
}

#[test]
fn candidates_for_a_duty_are_ranked_by_capacity() {
    let mut roster = Roster::default();
    let own = Daemon { capacity: 5, ..daemon("own", 1) };
    let rank = |roster: &Roster, at| roster.rank(&own, ms(at));
    // Daemons that start at the same time know each other's rows before their reports.
    let large = Daemon { capacity: 9, ..daemon("large", 1) };
    roster.apply_rows(vec![large.clone(), daemon("small", 1)], ms(0));
    assert_eq!(rank(&roster, 100), 1);
    roster.record_report(large.clone(), Fitness::Ready, ms(1_000));
    assert_eq!(rank(&roster, 2_400), 1);
    assert_eq!(rank(&roster, 2_600), 0);
    roster.record_report(large, Fitness::Leaving, ms(2_700));
    assert_eq!(rank(&roster, 2_800), 0);
}

/// Guards against digests that arrive late or twice and are believed.
#[test]
fn digest_is_taken_once_and_in_order() {
    let mut roster = Roster::default();
    assert!(roster.take_digest("b", 2, 7), "the relay isn't known yet");
    roster.record_report(daemon("b", 2), Fitness::Ready, ms(0));
    let taken = [3, 3, 2, 4].map(|number| roster.take_digest("b", 2, number));
    assert_eq!(taken, [true, false, false, true]);
    assert!(roster.take_digest("b", 2, 0), "digests of an earlier version have no number");
    assert!(!roster.take_digest("b", 1, 9), "the process has ended");
    assert!(roster.take_digest("b", 3, 1), "the relay has restarted");
    roster.record_report(daemon("b", 3), Fitness::Ready, ms(0));
    assert_eq!([1, 1].map(|number| roster.take_digest("b", 3, number)), [true, false]);
}
