//! Guards that races reach too seldom for a short run, each on its own.

use std::time::Duration;

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

const ME: &str = "c1#1";

fn ms(millis: u64) -> Tick {
    Tick(1_000 * millis)
}

/// A planner that has read one row for model `m` on upstream `e`, which checks no tokens.
fn planner(now: Tick, phase: Phase, senders: &[&str]) -> Planner {
    let mut planner = Planner::new(Settings::default(), ME);
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

fn see(planner: &mut Planner, asked: Tick, held: Option<ModelState>) {
    let mut state = ProbeReply { sent_at: asked, ..ProbeReply::default() };
    let model = planner.model_key("m").expect("configured");
    if let Some(held) = held {
        state.models.insert(model, (held, 10));
    }
    let upstream = planner.upstream_key("e").expect("configured");
    planner.probe_replied(asked + Duration::from_millis(1), upstream, &state);
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

/// Carries out the next commit, which must come without an order, and returns it.
fn commit(planner: &mut Planner, now: Tick) -> ChangeSet {
    let effects = planner.poll(now);
    assert_eq!(orders(&effects), []);
    let change = commits(&effects).pop().expect("something to write");
    planner.commit_completed(now, change.id, CommitOutcome::Committed(change.fence));
    change
}

#[test]
fn a_new_home_commits_before_its_first_order_and_names_itself() {
    let mut planner = planner(ms(0), Phase::Decided, &["c0#1"]);
    see(&mut planner, ms(1), None);
    let change = commit(&mut planner, ms(10));
    assert_eq!(change.puts[0].senders, ["c0#1", ME]);
    assert_eq!(orders(&planner.poll(ms(5_000)))[0].op, Op::Load);
}

#[test]
fn a_commit_without_an_answer_is_followed_by_reading_and_another_commit() {
    let mut planner = planner(ms(0), Phase::Decided, &[ME]);
    see(&mut planner, ms(1), None);
    let change = commits(&planner.poll(ms(10))).pop().expect("the first commit");
    planner.commit_completed(ms(20), change.id, CommitOutcome::Unknown);
    let effects = planner.poll(ms(20));
    assert!(effects.contains(&Effect::Scan));
    assert_eq!(orders(&effects), []);
}

#[test]
fn an_answer_from_before_the_last_order_proves_nothing() {
    let mut planner = planner(ms(100), Phase::Unloading, &[]);
    see(&mut planner, ms(50), None);
    assert!(commit(&mut planner, ms(200)).deletes.is_empty());
    see(&mut planner, ms(150), None);
    assert!(commits(&planner.poll(ms(210)))[0].deletes.len() == 1);
}

#[test]
fn an_answer_from_before_the_end_of_a_sender_proves_nothing() {
    let mut planner = planner(ms(0), Phase::Lingering, &["c0#1"]);
    see(&mut planner, ms(1), None);
    commit(&mut planner, ms(10));
    see(&mut planner, ms(20), None);
    planner.sender_ended(ms(30), "c0#1");
    assert_eq!(commits(&planner.poll(ms(31))), []);
    see(&mut planner, ms(40), None);
    assert_eq!(commits(&planner.poll(ms(50)))[0].deletes.len(), 1);
}

#[test]
fn a_replica_that_went_cold_is_ordered_again_only_under_its_senders_name() {
    let mut planner = planner(ms(0), Phase::Decided, &[ME]);
    see(&mut planner, ms(1), Some(ModelState::Loaded));
    let change = commit(&mut planner, ms(10));
    assert!(change.puts[0].senders.is_empty() && !change.puts[0].permit);
    see(&mut planner, ms(20), None);
    let change = commit(&mut planner, ms(30));
    assert_eq!(change.puts[0].senders, [ME]);
    assert!(change.puts[0].permit);
    see(&mut planner, ms(2_000), None);
    assert_eq!(orders(&planner.poll(ms(2_010))).len(), 1);
}

#[test]
fn nothing_is_ordered_unnamed_while_another_commit_is_on_its_way() {
    let mut planner = planner(ms(0), Phase::Decided, &[ME]);
    see(&mut planner, ms(1), Some(ModelState::Loaded));
    commit(&mut planner, ms(10));
    planner.report_demand(ms(20), "n", "r", 1, 0);
    assert_eq!(commits(&planner.poll(ms(20))).len(), 1);
    let mut state = ProbeReply { sent_at: ms(2_000), ..ProbeReply::default() };
    let model = planner.model_key("m").expect("configured");
    state.checkpoints.insert(model, Tier::Disk);
    let upstream = planner.upstream_key("e").expect("configured");
    planner.probe_replied(ms(2_001), upstream, &state);
    assert_eq!(orders(&planner.poll(ms(2_001))), []);
}

#[test]
fn another_incarnation_takes_no_answer_meant_for_the_one_before() {
    let mut planner = planner(ms(0), Phase::Decided, &[ME]);
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
