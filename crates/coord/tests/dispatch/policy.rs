//! Fairness, fresh upstreams, early refusal and zones, with the figures as snapshots.

use std::fmt::Write;
use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::keys::ZoneKey;
use corianderyoke_coord::time::Tick;

use crate::world::World;

const LOUD: u32 = 1;
const QUIET: u32 = 2;
const DEADLINE: Duration = Duration::from_secs(15);

fn minutes(minutes: u64) -> Duration {
    Duration::from_secs(60 * minutes)
}

/// p99 of the quiet team in milliseconds, and how many of its requests were refused or dropped,
/// while the loud one sends `loud` requests a second.
fn quiet(mut world: World, loud: f64) -> (u64, u64) {
    let rates = [(QUIET, 10.0), (LOUD, loud)];
    // The slots grow to the engines' capacity first.
    world.offer(&[(QUIET, 10.0), (LOUD, 22.0)], DEADLINE, minutes(2));
    world.run(minutes(1));
    world.spans.clear();
    world.refusals.clear();
    world.offer(&rates, DEADLINE, minutes(10));
    let refused = world.refusals.get(&QUIET).copied().unwrap_or(0);
    (world.percentile(QUIET, 99), refused)
}

#[test]
fn a_loud_team_does_not_crowd_out_a_quiet_one() {
    let mut table = String::new();
    let (alone, none) = quiet(World::home(4, true), 0.0);
    // Four engines serve 32 requests a second; the loud team sends five times its 8.
    let (ours, refused) = quiet(World::home(4, true), 40.0);
    let (caps, _) = quiet(World::caps(4, true), 40.0);
    writeln!(table, "p99 alone {alone} ms, dispatch {ours} ms, random choices {caps} ms").unwrap();
    writeln!(table, "refused of about 6000: alone {none}, dispatch {refused}").unwrap();
    assert!(none == 0 && refused <= 60, "{table}");
    assert!(ours * 10 <= alone * 12, "{table}");
    assert!(caps * 10 > alone * 12, "the baseline is expected to crowd out: {table}");
    insta::assert_snapshot!(table);
}

#[test]
fn a_fresh_upstream_is_never_above_what_it_bears() {
    let mut table = String::new();
    for (name, mut world) in
        [("dispatch", World::home(4, false)), ("random choices", World::caps(4, false))]
    {
        world.offer(&[(QUIET, 20.0), (LOUD, 20.0)], DEADLINE, minutes(2));
        let overloads: u32 = world.engines.iter().map(|engine| engine.overloads).sum();
        let served = world.ended;
        writeln!(table, "{name}: {overloads} starts above what was borne, {served} served")
            .unwrap();
        assert_eq!(overloads == 0, name == "dispatch", "{table}");
    }
    insta::assert_snapshot!(table);
}

#[test]
fn what_is_admitted_meets_its_deadline_and_nothing_is_dropped() {
    let mut world = World::home(4, true);
    let deadline = Duration::from_secs(6);
    world.offer(&[(QUIET, 30.0), (LOUD, 60.0)], deadline, minutes(5));
    world.run(minutes(1));
    assert_eq!(world.open(), 0, "every request was answered or refused");
    let asked = world.ended + world.refused();
    assert!(world.ended * 100 >= asked * 30, "{} of {asked} served", world.ended);
    assert!(world.late * 100 <= world.ended, "{} of {} late", world.late, world.ended);
}

#[test]
fn an_upstream_that_turns_cold_is_cut_and_recovers() {
    let mut world = World::home(2, true);
    let rates = [(QUIET, 8.0), (LOUD, 8.0)];
    world.offer(&rates, DEADLINE, minutes(2));
    let cold = UpstreamKey(0);
    let warm = world.dispatcher().bound(cold);
    world.engines[0].slow = 10;
    world.offer(&rates, DEADLINE, Duration::from_secs(40));
    let cut = world.dispatcher().bound(cold);
    world.engines[0].slow = 1;
    world.offer(&rates, DEADLINE, minutes(3));
    let again = world.dispatcher().bound(cold);
    insta::assert_snapshot!(format!("slots warm {warm}, cold {cut}, again {again}"));
    assert!(cut <= 2 && again > 2 && warm > 2);
}

#[test]
fn a_drained_zone_gets_nothing_new_and_loses_nothing() {
    let mut world = World::home(4, true);
    let rates = [(QUIET, 6.0), (LOUD, 6.0)];
    world.offer(&rates, DEADLINE, minutes(2));
    let now = Tick(world.now);
    let effects = world.dispatcher().set_zone_drained(ZoneKey(1), true, now);
    world.apply(effects);
    world.run(Duration::from_secs(10));
    let before = world.engines[1].served + world.engines[3].served;
    world.offer(&rates, DEADLINE, minutes(2));
    let during = world.engines[1].served + world.engines[3].served;
    assert_eq!(before, during);
    let now = Tick(world.now);
    let effects = world.dispatcher().set_zone_drained(ZoneKey(1), false, now);
    world.apply(effects);
    world.offer(&rates, DEADLINE, minutes(2));
    world.run(minutes(1));
    assert!(world.engines[1].served > 100 + before / 2);
    assert_eq!((world.open(), world.refused(), world.late), (0, 0, 0));
}
