//! Policy tests in simulation: fairness between teams, warmup of new upstreams, admission control
//! and zone drains. The figures are snapshots.

use std::fmt::Write;
use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::keys::ZoneKey;
use corianderyoke_coord::time::Tick;

use crate::world::World;

const HEAVY: u32 = 1;
const LIGHT: u32 = 2;
const DEADLINE: Duration = Duration::from_secs(15);

fn minutes(minutes: u64) -> Duration {
    Duration::from_secs(60 * minutes)
}

/// p99 latency of the light team in milliseconds and the number of its refused requests, while the
/// heavy team sends `heavy_rate` requests per second.
fn light_team_latency(mut world: World, heavy_rate: f64) -> (u64, u64) {
    let rates = [(LIGHT, 10.0), (HEAVY, heavy_rate)];
    // Warmup: the bounds grow to the engines' capacity.
    world.offer(&[(LIGHT, 10.0), (HEAVY, 22.0)], DEADLINE, minutes(2));
    world.advance(minutes(1));
    world.latencies.clear();
    world.refusals.clear();
    world.offer(&rates, DEADLINE, minutes(10));
    let refused = world.refusals.get(&LIGHT).copied().unwrap_or(0);
    (world.percentile(LIGHT, 99), refused)
}

#[test]
fn a_heavy_team_does_not_slow_down_a_light_team() {
    let mut table = String::new();
    let (alone, refused_alone) = light_team_latency(World::with_dispatcher(4, true), 0.0);
    // Four engines serve 32 requests per second in total; the heavy team sends 40, five times the
    // 8 that one engine serves.
    let (dispatch, refused) = light_team_latency(World::with_dispatcher(4, true), 40.0);
    let (two_choices, _) = light_team_latency(World::with_two_choices(4, true), 40.0);
    writeln!(table, "p99 alone {alone} ms, dispatch {dispatch} ms, two choices {two_choices} ms")
        .unwrap();
    writeln!(table, "refused of about 6000: alone {refused_alone}, dispatch {refused}").unwrap();
    assert!(refused_alone == 0 && refused <= 60, "{table}");
    assert!(dispatch * 10 <= alone * 12, "{table}");
    assert!(
        two_choices * 10 > alone * 12,
        "the baseline is expected to raise the latency: {table}"
    );
    insta::assert_snapshot!(table);
}

#[test]
fn a_new_upstream_is_never_overloaded() {
    let mut table = String::new();
    for (name, mut world) in [
        ("dispatch", World::with_dispatcher(4, false)),
        ("two choices", World::with_two_choices(4, false)),
    ] {
        world.offer(&[(LIGHT, 20.0), (HEAVY, 20.0)], DEADLINE, minutes(2));
        let overloads: u32 = world.engines.iter().map(|engine| engine.overloads).sum();
        let served = world.completed;
        writeln!(table, "{name}: {overloads} starts above capacity, {served} served").unwrap();
        assert_eq!(overloads == 0, name == "dispatch", "{table}");
    }
    insta::assert_snapshot!(table);
}

#[test]
fn admitted_requests_meet_their_deadline_and_none_is_dropped() {
    let mut world = World::with_dispatcher(4, true);
    let deadline = Duration::from_secs(6);
    world.offer(&[(LIGHT, 30.0), (HEAVY, 60.0)], deadline, minutes(5));
    world.advance(minutes(1));
    assert_eq!(world.unresolved(), 0, "every request was completed or refused");
    let total = world.completed + world.refused();
    assert!(world.completed * 100 >= total * 30, "{} of {total} served", world.completed);
    assert!(world.late * 100 <= world.completed, "{} of {} late", world.late, world.completed);
}

#[test]
fn the_bound_of_a_cold_upstream_drops_and_recovers() {
    let mut world = World::with_dispatcher(2, true);
    let rates = [(LIGHT, 8.0), (HEAVY, 8.0)];
    world.offer(&rates, DEADLINE, minutes(2));
    let upstream = UpstreamKey(0);
    let bound_warm = world.dispatcher().bound(upstream);
    world.engines[0].slowdown = 10;
    world.offer(&rates, DEADLINE, Duration::from_secs(40));
    let bound_cold = world.dispatcher().bound(upstream);
    world.engines[0].slowdown = 1;
    world.offer(&rates, DEADLINE, minutes(3));
    let bound_recovered = world.dispatcher().bound(upstream);
    insta::assert_snapshot!(format!(
        "bound warm {bound_warm}, cold {bound_cold}, recovered {bound_recovered}"
    ));
    assert!(bound_cold <= 2 && bound_recovered > 2 && bound_warm > 2);
}

#[test]
fn a_drained_zone_gets_no_new_requests_and_loses_none() {
    let mut world = World::with_dispatcher(4, true);
    let rates = [(LIGHT, 6.0), (HEAVY, 6.0)];
    world.offer(&rates, DEADLINE, minutes(2));
    let now = Tick(world.now);
    let effects = world.dispatcher().set_zone_drained(ZoneKey(1), true, now);
    world.apply(effects);
    world.advance(Duration::from_secs(10));
    let served_before = world.engines[1].served + world.engines[3].served;
    world.offer(&rates, DEADLINE, minutes(2));
    let served_during = world.engines[1].served + world.engines[3].served;
    assert_eq!(served_before, served_during);
    let now = Tick(world.now);
    let effects = world.dispatcher().set_zone_drained(ZoneKey(1), false, now);
    world.apply(effects);
    world.offer(&rates, DEADLINE, minutes(2));
    world.advance(minutes(1));
    assert!(world.engines[1].served > 100 + served_before / 2);
    assert_eq!((world.unresolved(), world.refused(), world.late), (0, 0, 0));
}
