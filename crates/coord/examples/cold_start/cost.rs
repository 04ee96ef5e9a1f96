//! The cost of a decision by the number of upstreams.

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

/// Decisions timed for each size.
const DECISIONS: usize = 2_000;

/// Prints the time of a wake with the decision that it leads to.
pub fn print() {
    println!("upstreams  decision p50 us  p99 us");
    for upstreams in [10, 1_000, 12_000] {
        let mut spans = measure(upstreams);
        spans.sort_unstable();
        let at = |share: usize| spans[spans.len() * share / 100].as_nanos() as f64 / 1e3;
        println!("{upstreams:9} {:16.1} {:7.1}", at(50), at(99));
    }
}

fn measure(upstreams: usize) -> Vec<Duration> {
    let models = upstreams * 2;
    let settings = Settings { store_inflight: usize::MAX, store_rate: 1e9, ..Settings::default() };
    let mut planner = Planner::new(settings, "c1");
    let upstream = |at| Upstream { name: format!("e{at}"), memory: 48 << 30, ..Default::default() };
    let model = |at| Model { name: format!("m{at}"), bytes: 16 << 30, ..Default::default() };
    let facts = Catalog {
        upstreams: (0..upstreams).map(upstream).collect(),
        models: (0..models).map(model).collect(),
    };
    let mut now = Tick(0);
    planner.configure(now, &facts);
    planner.start();
    planner.poll(now);
    planner.adopt(now, &TableSnapshot::default());
    commit(&mut planner, now);
    let mut spans = Vec::new();
    for turn in 0..DECISIONS {
        now = now + Duration::from_millis(10);
        let name = format!("m{}", turn % models);
        let start = Instant::now();
        planner.report_demand(now, &name, "r", 1, 0);
        let effects = planner.poll(now);
        spans.push(start.elapsed());
        finish(&mut planner, now, effects);
    }
    spans
}

fn commit(planner: &mut Planner, now: Tick) {
    let effects = planner.poll(now);
    finish(planner, now, effects);
}

/// Makes commits take effect and loads end at once, outside of the timing.
fn finish(planner: &mut Planner, now: Tick, effects: Vec<Effect>) {
    let mut next = effects;
    while !next.is_empty() {
        for effect in std::mem::take(&mut next) {
            match effect {
                Effect::Commit(change) => {
                    planner.commit_completed(now, change.id, CommitOutcome::Committed(change.id));
                }
                Effect::Order(order) => {
                    planner.order_completed(now, order.id, OrderOutcome::Accepted);
                    see_loaded(planner, now, order.upstream);
                }
                _ => {}
            }
        }
        next = planner.poll(now);
    }
}

fn see_loaded(planner: &mut Planner, now: Tick, upstream: UpstreamKey) {
    let name = planner.upstream_name(upstream).to_owned();
    let mut state = ProbeReply { sent_at: now, ..ProbeReply::default() };
    for (row, _) in planner.intents().iter().filter(|(row, _)| row.upstream == name) {
        if let Some(model) = planner.model_key(&row.model) {
            state.models.insert(model, (ModelState::Loaded, row.bytes));
        }
    }
    planner.probe_replied(now, upstream, &state);
}
