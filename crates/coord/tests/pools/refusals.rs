//! Requests refused although inside the team's rate, against the baselines.

use std::fmt::Write;
use std::time::Duration;

use corianderyoke_coord::pools::Limits;
use corianderyoke_coord::pools::SliceSettings;
use corianderyoke_coord::pools::StaticShare;
use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::Faults;
use crate::world::World;

/// Requests a thousand that each of the eight routers gets.
const WEIGHTS: [u32; 8] = [400, 200, 150, 100, 60, 50, 30, 10];

const LIMITS: Limits = Limits { rate: 40_000, burst: 80_000 };

const FAULTS: Faults = Faults { loss: 10, double: 10, delay: Duration::from_millis(3) };

const DEADLINE: Duration = Duration::from_secs(10);

/// One request: router, tokens reserved, and the span to the next.
struct Arrival {
    router: usize,
    tokens: u64,
    gap: Duration,
}

/// Arrivals that reserve `reserved` tokens a second on average and use three quarters of them.
struct Arrivals {
    rng: ChaCha8Rng,
    reserved: f64,
}

impl Arrivals {
    fn new(seed: u64) -> Self {
        Arrivals { rng: ChaCha8Rng::seed_from_u64(seed), reserved: 36_000.0 }
    }

    fn next(&mut self) -> Arrival {
        let mut pick = self.rng.random_range(0..1000);
        let mut router = 0;
        while pick >= WEIGHTS[router] {
            pick -= WEIGHTS[router];
            router += 1;
        }
        let tokens = self.rng.random_range(100..700);
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() * 400.0 / self.reserved);
        Arrival { router, tokens, gap }
    }
}

fn drive(world: &mut World, arrivals: &mut Arrivals, span: Duration) {
    let end = world.now + span.as_micros() as u64;
    while world.now < end {
        let arrival = arrivals.next();
        world.request(arrival.router, arrival.tokens, DEADLINE);
        world.run(arrival.gap);
    }
}

fn permille(refused: u64, asked: u64) -> u64 {
    refused * 1000 / asked
}

#[test]
fn requests_inside_the_rate_are_not_refused() {
    let mut table = String::new();
    let direct = SliceSettings { target: Duration::ZERO, ..SliceSettings::default() };
    for (name, settings) in [("slices", SliceSettings::default()), ("direct", direct)] {
        let mut world = World::new(settings, LIMITS, &[0; 8], FAULTS);
        drive(&mut world, &mut Arrivals::new(1), Duration::from_secs(120));
        let count = world.count;
        let refused = permille(count.refused, count.asked);
        let messages = count.messages * 100 / count.asked;
        writeln!(table, "{name}: refused {refused}‰, messages per 100 requests {messages}")
            .unwrap();
        assert!(refused <= 10, "{name} refused {refused}‰");
    }
    let refused = static_shares();
    writeln!(table, "static shares: refused {refused}‰").unwrap();
    assert!(refused > 10, "the baseline is expected to refuse");
    insta::assert_snapshot!(table);
}

/// Static shares have no home to wait for: a router refuses what its own part can't carry. Half a
/// reservation's tokens come back at once, which is more than the slices get.
fn static_shares() -> u64 {
    let mut arrivals = Arrivals::new(1);
    let mut now = Tick(0);
    let mut shares = vec![StaticShare::new(LIMITS, 8, now); 8];
    let (mut asked, mut refused) = (0, 0);
    while now < Tick(120_000_000) {
        let arrival = arrivals.next();
        asked += 1;
        let share = &mut shares[arrival.router];
        match share.reserve(arrival.tokens, now) {
            true => share.refund(arrival.tokens / 4),
            false => refused += 1,
        }
        now = now + arrival.gap;
    }
    permille(refused, asked)
}

#[test]
fn requests_that_reserve_more_than_the_rate_but_use_less_are_not_refused() {
    let mut world = World::new(SliceSettings::default(), LIMITS, &[0; 8], FAULTS);
    let mut arrivals = Arrivals { reserved: 48_000.0, ..Arrivals::new(3) };
    drive(&mut world, &mut arrivals, Duration::from_secs(120));
    let count = world.count;
    let refused = permille(count.refused, count.asked);
    assert!(refused <= 10, "refused {refused}‰ of {}", count.asked);
    assert!(world.worst_excess(LIMITS.rate as f64) <= LIMITS.burst as f64);
}

#[test]
fn a_dead_home_costs_few_requests() {
    let mut world = World::new(SliceSettings::default(), LIMITS, &[0; 8], FAULTS);
    let mut arrivals = Arrivals::new(2);
    drive(&mut world, &mut arrivals, Duration::from_secs(30));
    // The home dies with its router; four seconds later its term has lapsed.
    world.home = None;
    world.kill(3);
    let before = world.count;
    drive(&mut world, &mut arrivals, Duration::from_secs(4));
    world.move_home(0, false);
    drive(&mut world, &mut arrivals, Duration::from_secs(6));
    let asked = world.count.asked - before.asked;
    let refused = permille(world.count.refused - before.refused, asked);
    assert!(refused <= 50, "refused {refused}‰ of {asked}");
    drive(&mut world, &mut arrivals, Duration::from_secs(60));
    let refused = permille(world.count.refused - before.refused, world.count.asked - before.asked);
    assert!(refused <= 10, "refused {refused}‰ in the minute");
}
