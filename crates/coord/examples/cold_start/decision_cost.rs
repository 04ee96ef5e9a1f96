//! Measures the time of a placement decision by the number of upstreams.

use std::time::Duration;
use std::time::Instant;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::placement::Catalog;
use corianderyoke_coord::placement::CommitOutcome;
use corianderyoke_coord::placement::Effect;
use corianderyoke_coord::placement::Model;
use corianderyoke_coord::placement::ModelState;
use corianderyoke_coord::placement::OrderOutcome;
use corianderyoke_coord::placement::Planner;
use corianderyoke_coord::placement::ProbeReply;
use corianderyoke_coord::placement::Settings;
use corianderyoke_coord::placement::TableSnapshot;
use corianderyoke_coord::placement::Upstream;
use corianderyoke_coord::time::Tick;

/// Number of decisions timed for each fleet size.
const DECISIONS: usize = 2_000;

/// Prints how long a demand report and the decision it causes take.
pub fn print() {
    println!("upstreams  decision p50 us  p99 us");
    for upstreams in [10, 1_000, 12_000] {
        let mut times = measure(upstreams);
        times.sort_unstable();
        let percentile =
            |percent: usize| times[times.len() * percent / 100].as_nanos() as f64 / 1e3;
        println!("{upstreams:9} {:16.1} {:7.1}", percentile(50), percentile(99));
    }
}

fn measure(upstreams: usize) -> Vec<Duration> {
    let models = upstreams * 2;
    let settings = Settings { store_inflight: usize::MAX, store_rate: 1e9, ..Settings::default() };
    let mut planner = Planner::new(settings, "c1");
    let upstream = |at| Upstream { name: format!("e{at}"), memory: 48 << 30, ..Default::default() };
    let model = |at| Model { name: format!("m{at}"), bytes: 16 << 30, ..Default::default() };
    let catalog = Catalog {
        upstreams: (0..upstreams).map(upstream).collect(),
        models: (0..models).map(model).collect(),
    };
    let mut now = Tick(0);
    planner.configure(now, &catalog);
    planner.start();
    planner.poll(now);
    planner.adopt(now, &TableSnapshot::default());
    commit(&mut planner, now);
    let mut times = Vec::new();
    for round in 0..DECISIONS {
        now = now + Duration::from_millis(10);
        let name = format!("m{}", round % models);
        let start = Instant::now();
        planner.report_demand(now, &name, "r", 1, 0);
        let effects = planner.poll(now);
        times.push(start.elapsed());
        complete(&mut planner, now, effects);
    }
    times
}

fn commit(planner: &mut Planner, now: Tick) {
    let effects = planner.poll(now);
    complete(planner, now, effects);
}

/// Completes commits and loads at once, outside the measured time.
fn complete(planner: &mut Planner, now: Tick, effects: Vec<Effect>) {
    let mut next = effects;
    while !next.is_empty() {
        for effect in std::mem::take(&mut next) {
            match effect {
                Effect::Commit(change) => {
                    planner.commit_completed(now, change.id, CommitOutcome::Committed(change.id));
                }
                Effect::Order(order) => {
                    planner.order_completed(now, order.id, OrderOutcome::Accepted);
                    report_loaded(planner, now, order.upstream);
                }
                _ => {}
            }
        }
        next = planner.poll(now);
    }
}

fn report_loaded(planner: &mut Planner, now: Tick, upstream: UpstreamKey) {
    let name = planner.upstream_name(upstream).to_owned();
    let mut reply = ProbeReply { sent_at: now, ..ProbeReply::default() };
    for (row, _) in planner.intents().iter().filter(|(row, _)| row.upstream == name) {
        if let Some(model) = planner.model_key(&row.model) {
            reply.models.insert(model, (ModelState::Loaded, row.bytes));
        }
    }
    planner.probe_replied(now, upstream, &reply);
}
