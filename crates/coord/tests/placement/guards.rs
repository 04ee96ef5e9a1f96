//! Single safeguards of the planner that random runs reach too seldom.

use std::time::Duration;

use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::placement::Catalog;
use corianderyoke_coord::placement::ChangeSet;
use corianderyoke_coord::placement::CommitOutcome;
use corianderyoke_coord::placement::Effect;
use corianderyoke_coord::placement::IntentRow;
use corianderyoke_coord::placement::Model;
use corianderyoke_coord::placement::ModelState;
use corianderyoke_coord::placement::Op;
use corianderyoke_coord::placement::Order;
use corianderyoke_coord::placement::OrderOutcome;
use corianderyoke_coord::placement::Phase;
use corianderyoke_coord::placement::Planner;
use corianderyoke_coord::placement::ProbeReply;
use corianderyoke_coord::placement::Sequence;
use corianderyoke_coord::placement::Settings;
use corianderyoke_coord::placement::TableSnapshot;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::placement::Upstream;
use corianderyoke_coord::time::Tick;

const OWN_NAME: &str = "c1#1";

fn ms(millis: u64) -> Tick {
    Tick(1_000 * millis)
}

/// Returns a planner that has scanned one row, for model `m` on upstream `e`, which doesn't check
/// fencing tokens.
fn planner(now: Tick, phase: Phase, senders: &[&str]) -> Planner {
    let mut planner = Planner::new(Settings::default(), OWN_NAME);
    let upstream = Upstream { name: "e".to_owned(), memory: 20, ..Upstream::default() };
    let model = |name: &str| Model { name: name.to_owned(), bytes: 10, ..Model::default() };
    let models = vec![model("m"), model("n")];
    planner.configure(now, &Catalog { upstreams: vec![upstream], models });
    planner.start();
    assert!(planner.poll(now).contains(&Effect::Scan));
    let row = IntentRow {
        model: "m".to_owned(),
        upstream: "e".to_owned(),
        bytes: 10,
        fence: 1,
        phase,
        senders: senders.iter().map(|sender| sender.to_string()).collect(),
        permit: true,
    };
    let sequence = Sequence { fence: 1, controller: "c0#1".to_owned() };
    planner.adopt(now, &TableSnapshot { sequence, version: Some(1), rows: vec![row] });
    planner
}

fn reply_to_probe(planner: &mut Planner, sent_at: Tick, model_state: Option<ModelState>) {
    let mut reply = ProbeReply { sent_at, ..ProbeReply::default() };
    let model = planner.model_key("m").expect("configured");
    if let Some(model_state) = model_state {
        reply.models.insert(model, (model_state, 10));
    }
    let upstream = planner.upstream_key("e").expect("configured");
    planner.probe_replied(sent_at + Duration::from_millis(1), upstream, &reply);
}

fn commits(effects: &[Effect]) -> Vec<ChangeSet> {
    let commit = |effect: &Effect| match effect {
        Effect::Commit(change) => Some(change.clone()),
        _ => None,
    };
    effects.iter().filter_map(commit).collect()
}

fn orders(effects: &[Effect]) -> Vec<Order> {
    let order = |effect: &Effect| match effect {
        Effect::Order(order) => Some(*order),
        _ => None,
    };
    effects.iter().filter_map(order).collect()
}

/// Confirms the next commit, which must come without an order, and returns it.
fn commit(planner: &mut Planner, now: Tick) -> ChangeSet {
    let effects = planner.poll(now);
    assert_eq!(orders(&effects), []);
    let change = commits(&effects).pop().expect("something to write");
    planner.commit_completed(now, change.id, CommitOutcome::Committed(change.fence));
    change
}

#[test]
fn a_new_home_commits_its_name_before_its_first_order() {
    let mut planner = planner(ms(0), Phase::Decided, &["c0#1"]);
    reply_to_probe(&mut planner, ms(1), None);
    let change = commit(&mut planner, ms(10));
    assert_eq!(change.puts[0].senders, ["c0#1", OWN_NAME]);
    assert_eq!(orders(&planner.poll(ms(5_000)))[0].op, Op::Load);
}

/// Guards against a controller that ends, or takes memory for free, because of numbers in the state of
/// an engine, in the table or in the demand of routers.
#[test]
fn sums_of_numbers_out_of_range_saturate() {
    let mut planner = planner(ms(0), Phase::Decided, &[OWN_NAME]);
    let row = planner.intents()[0].0.clone();
    let rows = ["m", "n"].map(|model| IntentRow {
        model: model.to_owned(),
        bytes: u64::MAX,
        senders: Default::default(),
        ..row.clone()
    });
    let sequence = Sequence { fence: 1, controller: "c0#1".to_owned() };
    planner.adopt(ms(1), &TableSnapshot { sequence, version: Some(2), rows: rows.to_vec() });
    let mut reply = ProbeReply { sent_at: ms(2), fence: u64::MAX, ..ProbeReply::default() };
    for number in 10..13 {
        reply.models.insert(ModelKey(number), (ModelState::Loaded, u64::MAX));
    }
    let upstream = planner.upstream_key("e").expect("configured");
    planner.probe_replied(ms(3), upstream, &reply);
    let model = planner.model_key("m").expect("configured");
    for router in ["r1", "r2"] {
        planner.report_demand(ms(4), "m", router, u32::MAX, u32::MAX);
    }
    assert_eq!(planner.waiting_requests(model), u32::MAX);
    planner.poll(ms(5));
}

#[test]
fn a_commit_with_an_unknown_outcome_causes_another_scan() {
    let mut planner = planner(ms(0), Phase::Decided, &[OWN_NAME]);
    reply_to_probe(&mut planner, ms(1), None);
    let change = commits(&planner.poll(ms(10))).pop().expect("the first commit");
    planner.commit_completed(ms(20), change.id, CommitOutcome::Unknown);
    let effects = planner.poll(ms(20));
    assert!(effects.contains(&Effect::Scan));
    assert_eq!(orders(&effects), []);
}

#[test]
fn a_probe_sent_before_the_last_change_does_not_delete_a_row() {
    let mut planner = planner(ms(100), Phase::Unloading, &[]);
    reply_to_probe(&mut planner, ms(50), None);
    assert!(commit(&mut planner, ms(200)).deletes.is_empty());
    reply_to_probe(&mut planner, ms(150), None);
    assert!(commits(&planner.poll(ms(210)))[0].deletes.len() == 1);
}

#[test]
fn a_probe_sent_before_a_sender_ended_does_not_delete_a_row() {
    let mut planner = planner(ms(0), Phase::Lingering, &["c0#1"]);
    reply_to_probe(&mut planner, ms(1), None);
    commit(&mut planner, ms(10));
    reply_to_probe(&mut planner, ms(20), None);
    planner.sender_ended(ms(30), "c0#1");
    assert_eq!(commits(&planner.poll(ms(31))), []);
    reply_to_probe(&mut planner, ms(40), None);
    assert_eq!(commits(&planner.poll(ms(50)))[0].deletes.len(), 1);
}

#[test]
fn a_lost_replica_is_ordered_again_only_after_its_sender_is_committed() {
    let mut planner = planner(ms(0), Phase::Decided, &[OWN_NAME]);
    reply_to_probe(&mut planner, ms(1), Some(ModelState::Loaded));
    let change = commit(&mut planner, ms(10));
    assert!(change.puts[0].senders.is_empty() && !change.puts[0].permit);
    reply_to_probe(&mut planner, ms(20), None);
    let change = commit(&mut planner, ms(30));
    assert_eq!(change.puts[0].senders, [OWN_NAME]);
    assert!(change.puts[0].permit);
    reply_to_probe(&mut planner, ms(2_000), None);
    assert_eq!(orders(&planner.poll(ms(2_010))).len(), 1);
}

#[test]
fn no_load_is_ordered_without_a_committed_sender_while_a_commit_is_in_flight() {
    let mut planner = planner(ms(0), Phase::Decided, &[OWN_NAME]);
    reply_to_probe(&mut planner, ms(1), Some(ModelState::Loaded));
    commit(&mut planner, ms(10));
    planner.report_demand(ms(20), "n", "r", 1, 0);
    assert_eq!(commits(&planner.poll(ms(20))).len(), 1);
    let mut reply = ProbeReply { sent_at: ms(2_000), ..ProbeReply::default() };
    let model = planner.model_key("m").expect("configured");
    reply.checkpoints.insert(model, Tier::Disk);
    let upstream = planner.upstream_key("e").expect("configured");
    planner.probe_replied(ms(2_001), upstream, &reply);
    assert_eq!(orders(&planner.poll(ms(2_001))), []);
}

#[test]
fn responses_to_the_previous_incarnation_are_ignored() {
    let mut planner = planner(ms(0), Phase::Decided, &[OWN_NAME]);
    let old = commits(&planner.poll(ms(10))).pop().expect("the first commit");
    planner.rejoin("c1#2");
    planner.start();
    planner.poll(ms(20));
    planner.adopt(ms(20), &TableSnapshot::default());
    let new = commits(&planner.poll(ms(30))).pop().expect("the first commit");
    assert_ne!(old.id, new.id);
    planner.commit_completed(ms(40), old.id, CommitOutcome::Committed(9));
    assert!(!planner.is_active());
    planner.order_completed(ms(40), old.id, OrderOutcome::Accepted);
    planner.commit_completed(ms(50), new.id, CommitOutcome::Committed(1));
    assert!(planner.is_active());
}
