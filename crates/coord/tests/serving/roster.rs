//! Which daemons are alive.

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
fn only_daemons_that_were_heard_lately_and_are_ready_are_named() {
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
fn a_list_of_marks_stands_for_the_word_of_daemons_that_are_known_as_they_are() {
    let mut roster = Roster::default();
    roster.record_report(daemon("d2", 1), Fitness::Ready, ms(0));
    roster.record_report(daemon("d3", 1), Fitness::Ready, ms(0));
    let own = fingerprint(&daemon("d1", 1), Fitness::Ready);
    let fingerprints = [own, fingerprint(&daemon("d2", 1), Fitness::Ready)];
    assert!(!roster.record_fingerprints(&fingerprints, own, ms(1_400)));
    assert_eq!(ready(&roster, 1_600), ["d2"]);
    // It started again, or can't serve any more: what is known of it is out of date.
    for changed in [
        fingerprint(&daemon("d2", 2), Fitness::Ready),
        fingerprint(&daemon("d2", 1), Fitness::Leaving),
    ] {
        assert!(roster.record_fingerprints(&[changed], own, ms(2_800)));
        assert_eq!(ready(&roster, 3_000), Vec::<String>::new());
    }
}

#[test]
fn a_daemon_that_falls_silent_is_reported_once_each_time() {
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
fn word_of_an_earlier_start_is_dropped() {
    let mut roster = Roster::default();
    assert!(roster.record_report(daemon("d", 2), Fitness::Ready, ms(0)));
    assert!(!roster.record_report(daemon("d", 1), Fitness::Leaving, ms(10)));
    assert_eq!(ready(&roster, 20), ["d"]);
    assert!(roster.record_report(daemon("d", 3), Fitness::Ready, ms(30)));
}

#[test]
fn a_silent_daemon_without_a_row_is_forgotten() {
    let mut roster = Roster::default();
    roster.record_report(daemon("d", 1), Fitness::Ready, ms(0));
    roster.apply_rows(Vec::new(), ms(1_000));
    assert_eq!(roster.size(), 2);
    roster.apply_rows(Vec::new(), ms(2_000));
    assert_eq!(roster.size(), 1);
}

#[test]
fn the_part_of_the_fleet_that_is_heard_counts_this_daemon() {
    let mut roster = Roster::default();
    roster.apply_rows(vec![daemon("d2", 1), daemon("d3", 1), daemon("d4", 1)], ms(0));
    roster.record_report(daemon("d2", 1), Fitness::Ready, ms(0));
    assert_eq!(roster.live_fraction(ms(100)), 0.5);
    let silent: Vec<_> = roster.silent_for(Duration::from_secs(30), ms(31_000)).collect();
    assert_eq!(silent.len(), 3);
}

#[test]
fn every_daemon_takes_the_same_relays_on_the_largest_instances() {
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
fn a_silent_relay_is_replaced() {
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
