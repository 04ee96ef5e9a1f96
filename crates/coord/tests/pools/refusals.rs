//! Counts refusals of requests within the team's rate, compared with two baselines.

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

/// Requests in a thousand that each of the eight routers receives.
const WEIGHTS: [u32; 8] = [400, 200, 150, 100, 60, 50, 30, 10];

const LIMITS: Limits = Limits { rate: 40_000, burst: 80_000 };

const FAULTS: Faults = Faults { loss: 10, duplicate: 10, delay: Duration::from_millis(3) };

const DEADLINE: Duration = Duration::from_secs(10);

/// One request: its router, the tokens it reserves, and the time until the next request.
struct Arrival {
    router: usize,
    tokens: u64,
    interval: Duration,
}

/// Poisson arrivals that reserve `reserved` tokens per second on average and use three quarters
/// of them.
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
        let interval = Duration::from_secs_f64(-uniform.ln() * 400.0 / self.reserved);
        Arrival { router, tokens, interval }
    }
}

fn run_arrivals(world: &mut World, arrivals: &mut Arrivals, span: Duration) {
    let end = world.now + span.as_micros() as u64;
    while world.now < end {
        let arrival = arrivals.next();
        world.request(arrival.router, arrival.tokens, DEADLINE);
        world.run(arrival.interval);
    }
}

fn permille(refused: u64, requested: u64) -> u64 {
    refused * 1000 / requested
}

#[test]
fn requests_inside_the_rate_are_not_refused() {
    let mut table = String::new();
    // Baseline in which routers hold no spare tokens and request them from the home as needed.
    let direct = SliceSettings { target_time: Duration::ZERO, ..SliceSettings::default() };
    for (name, settings) in [("slices", SliceSettings::default()), ("direct", direct)] {
        let mut world = World::new(settings, LIMITS, &[0; 8], FAULTS);
        run_arrivals(&mut world, &mut Arrivals::new(1), Duration::from_secs(120));
        let count = world.count;
        let refused = permille(count.refused, count.requested);
        let messages = count.messages * 100 / count.requested;
        writeln!(table, "{name}: refused {refused}‰, messages per 100 requests {messages}")
            .unwrap();
        assert!(refused <= 10, "{name} refused {refused}‰");
    }
    let refused = static_share_refusals();
    writeln!(table, "static shares: refused {refused}‰").unwrap();
    assert!(refused > 10, "the baseline is expected to refuse");
    insta::assert_snapshot!(table);
}

/// Refusals per thousand requests with static shares, where a router refuses what its own share
/// can't supply. A quarter of each reservation's tokens is refunded at once, earlier than slices
/// get it.
fn static_share_refusals() -> u64 {
    let mut arrivals = Arrivals::new(1);
    let mut now = Tick(0);
    let mut shares = vec![StaticShare::new(LIMITS, 8, now); 8];
    let (mut requested, mut refused) = (0, 0);
    while now < Tick(120_000_000) {
        let arrival = arrivals.next();
        requested += 1;
        let share = &mut shares[arrival.router];
        match share.reserve(arrival.tokens, now) {
            true => share.refund(arrival.tokens / 4),
            false => refused += 1,
        }
        now = now + arrival.interval;
    }
    permille(refused, requested)
}

#[test]
fn requests_that_reserve_above_the_rate_but_use_less_are_not_refused() {
    let mut world = World::new(SliceSettings::default(), LIMITS, &[0; 8], FAULTS);
    let mut arrivals = Arrivals { reserved: 48_000.0, ..Arrivals::new(3) };
    run_arrivals(&mut world, &mut arrivals, Duration::from_secs(120));
    let count = world.count;
    let refused = permille(count.refused, count.requested);
    assert!(refused <= 10, "refused {refused}‰ of {}", count.requested);
    assert!(world.worst_excess(LIMITS.rate as f64) <= LIMITS.burst as f64);
}

#[test]
fn few_requests_are_refused_after_the_home_fails() {
    let mut world = World::new(SliceSettings::default(), LIMITS, &[0; 8], FAULTS);
    let mut arrivals = Arrivals::new(2);
    run_arrivals(&mut world, &mut arrivals, Duration::from_secs(30));
    // The home fails with its router; its lease expires four seconds later.
    world.home = None;
    world.kill(3);
    let before = world.count;
    run_arrivals(&mut world, &mut arrivals, Duration::from_secs(4));
    world.move_home(0, false);
    run_arrivals(&mut world, &mut arrivals, Duration::from_secs(6));
    let requested = world.count.requested - before.requested;
    let refused = permille(world.count.refused - before.refused, requested);
    assert!(refused <= 50, "refused {refused}‰ of {requested}");
    run_arrivals(&mut world, &mut arrivals, Duration::from_secs(60));
    let refused =
        permille(world.count.refused - before.refused, world.count.requested - before.requested);
    assert!(refused <= 10, "refused {refused}‰ within 70 s");
}
