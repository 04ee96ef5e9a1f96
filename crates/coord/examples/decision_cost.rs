//! Measures the CPU time of each decision in microseconds, by the number of upstreams.
//!
//! Run it with `cargo run --release -p corianderyoke-coord --example decision_cost`. There are as
//! many models as upstreams, and a tenth as many teams. Queues and slots stay in use throughout, so
//! most dispatch decisions find the upstreams full.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use corianderyoke_coord::dispatch::Decision;
use corianderyoke_coord::dispatch::DispatchSettings;
use corianderyoke_coord::dispatch::Dispatcher;
use corianderyoke_coord::dispatch::Effect;
use corianderyoke_coord::dispatch::Outcome;
use corianderyoke_coord::dispatch::Release;
use corianderyoke_coord::dispatch::ReplicaState;
use corianderyoke_coord::dispatch::Request;
use corianderyoke_coord::dispatch::RequestKey;
use corianderyoke_coord::dispatch::SlotKey;
use corianderyoke_coord::dispatch::UpstreamStatus;
use corianderyoke_coord::idempotency::ClaimKey;
use corianderyoke_coord::idempotency::Event;
use corianderyoke_coord::idempotency::Ledger;
use corianderyoke_coord::idempotency::LedgerSettings;
use corianderyoke_coord::idempotency::Outcome as StoredOutcome;
use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::TeamKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::keys::ZoneKey;
use corianderyoke_coord::pools::Bucket;
use corianderyoke_coord::pools::Counters;
use corianderyoke_coord::pools::Effect as SliceEffect;
use corianderyoke_coord::pools::GrantRequest;
use corianderyoke_coord::pools::Limits;
use corianderyoke_coord::pools::Slice;
use corianderyoke_coord::pools::SliceSettings;
use corianderyoke_coord::time::Tick;

const UPSTREAM_COUNTS: [u32; 3] = [10, 1_000, 12_000];

/// Decisions per measurement.
const ITERATIONS: u64 = 200_000;

/// Models loaded on each upstream.
const MODELS_PER_UPSTREAM: u32 = 4;

const LIMITS: Limits = Limits { rate: 1_000_000_000, burst: 1_000_000_000 };

fn main() {
    println!("{:>9}  {:<8}  {:>7}  {:>7}  {:>7}", "upstreams", "decision", "mean", "p50", "p99");
    for size in UPSTREAM_COUNTS {
        let (enqueue, release) = measure_dispatch(size);
        print_row(size, "enqueue", enqueue);
        print_row(size, "release", release);
        print_row(size, "ask", measure_ask(size));
        print_row(size, "reserve", measure_reserve());
        print_row(size, "claim", measure_claim());
    }
}

fn print_row(size: u32, name: &str, mut nanos: Vec<u64>) {
    nanos.sort_unstable();
    let micros = |nanos: u64| nanos as f64 / 1000.0;
    let mean = micros(nanos.iter().sum::<u64>() / nanos.len() as u64);
    let p50 = micros(nanos[nanos.len() / 2]);
    let p99 = micros(nanos[nanos.len() * 99 / 100]);
    println!("{size:>9}  {name:<8}  {mean:>7.2}  {p50:>7.2}  {p99:>7.2}");
}

fn timed<T>(nanos: &mut Vec<u64>, operation: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = black_box(operation());
    nanos.push(start.elapsed().as_nanos() as u64);
    result
}

/// A dispatcher with `size` upstreams and as many models.
fn dispatcher(size: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1, &[], Tick(0));
    for upstream in 0..size {
        let models = (0..MODELS_PER_UPSTREAM).map(|nth| ModelKey((upstream + nth * 7) % size));
        let status = UpstreamStatus {
            zone: ZoneKey(upstream % 4),
            leaving: false,
            incarnation: 1,
            max_slots: 32,
            warmup_slots: 4,
            models: models.map(|model| (model, ReplicaState::Loaded)).collect(),
            adapters: Default::default(),
        };
        dispatcher.set_upstream(UpstreamKey(upstream), status, Tick(0));
    }
    dispatcher
}

fn request(number: u64, size: u32) -> Request {
    let teams = u64::from(size / 10).max(2);
    Request {
        key: RequestKey { router: MemberKey((number % 8) as u32), number },
        model: ModelKey((number.wrapping_mul(2_654_435_761) % u64::from(size)) as u32),
        adapter: None,
        team: TeamKey((number.wrapping_mul(40_503) % teams) as u32),
        cost: 500,
        deadline: Duration::from_secs(60),
        prefix: Some(number % 1000),
        avoid: Vec::new(),
        retry: false,
    }
}

/// Measures enqueues and releases, with about as many waiting requests as upstreams.
fn measure_dispatch(size: u32) -> (Vec<u64>, Vec<u64>) {
    let mut dispatcher = dispatcher(size);
    let (mut enqueue, mut release) = (Vec::new(), Vec::new());
    let mut slots: Vec<SlotKey> = Vec::new();
    for number in 0..ITERATIONS {
        let now = Tick(number * 50);
        let request = request(number, size);
        if let Decision::Start(start) = timed(&mut enqueue, || dispatcher.enqueue(request, now)) {
            slots.push(start.slot);
        }
        if slots.is_empty() || dispatcher.waiting_requests() < size as usize {
            continue;
        }
        let slot = slots.swap_remove(number as usize % slots.len());
        let done = Release {
            slot,
            outcome: Outcome::Done,
            first_token: Some(Duration::from_millis(20)),
            token_gap: Some(Duration::from_millis(20)),
            used_tokens: 300,
        };
        let mut effects = timed(&mut release, || dispatcher.release(&done, now));
        effects.extend(dispatcher.tick(now));
        let starts = effects.into_iter().filter_map(|effect| match effect {
            Effect::Start(start) => Some(start.slot),
            Effect::Refuse(_) => None,
        });
        slots.extend(starts);
    }
    (enqueue, release)
}

/// Measures token requests of `routers` routers to one token bucket.
fn measure_ask(routers: u32) -> Vec<u64> {
    let mut bucket = Bucket::new_full(1, LIMITS, Tick(0));
    let mut counters = vec![Counters::default(); routers as usize];
    let mut nanos = Vec::new();
    for number in 0..ITERATIONS {
        let index = (number % u64::from(routers)) as usize;
        counters[index].spent = counters[index].granted;
        let refunds = Vec::new();
        let router_counters = counters[index];
        let ask = GrantRequest {
            home: 1,
            number,
            counters: router_counters,
            refunds,
            want: 1000,
            need: 500,
        };
        let router = MemberKey(index as u32);
        let now = Tick(number * 10);
        if let Ok(grant) = timed(&mut nanos, || bucket.handle_request(router, &ask, now)) {
            counters[index].granted = grant.granted;
        }
    }
    nanos
}

/// Measures reservations at one router; most are served from the tokens that its slice already
/// holds.
fn measure_reserve() -> Vec<u64> {
    let mut bucket = Bucket::new_full(1, LIMITS, Tick(0));
    let mut slice = Slice::new(SliceSettings::default(), 1, LIMITS, Tick(0));
    let mut nanos = Vec::new();
    for ticket in 0..ITERATIONS {
        let now = Tick(ticket * 1000);
        let deadline = now + Duration::from_secs(1);
        let mut effects = timed(&mut nanos, || slice.reserve(ticket, 500, deadline, now));
        while let Some(effect) = effects.pop() {
            match effect {
                SliceEffect::GrantRequest(ask) => {
                    if let Ok(grant) = bucket.handle_request(MemberKey(0), &ask, now) {
                        effects.extend(slice.handle_grant(&grant, now));
                    }
                }
                SliceEffect::Reserved { reservation, .. } => slice.settle(reservation, 300, now),
                SliceEffect::Refused { .. } => {}
            }
        }
    }
    nanos
}

/// Measures non-repeatable calls from the claim to the recorded outcome, without the store.
fn measure_claim() -> Vec<u64> {
    let mut ledger = Ledger::new(LedgerSettings::default());
    let mut nanos = Vec::new();
    for number in 0..ITERATIONS {
        let key = ClaimKey { team: "depot".to_owned(), key: number.to_string() };
        let now = Tick(number * 1000);
        timed(&mut nanos, || {
            let (call, _) = ledger.begin(key, "digest", "attempt", now);
            let events = [
                Event::Written { version: 1 },
                Event::Ready,
                Event::Written { version: 2 },
                Event::Answered(StoredOutcome::new(200, "done")),
                Event::Written { version: 3 },
            ];
            for event in events {
                let _ = black_box(ledger.handle(call, event, now));
            }
        });
    }
    nanos
}
