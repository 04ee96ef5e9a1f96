//! Runs several planners through crashes, pauses and concurrent homes, on a network that drops,
//! delays and duplicates messages.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::simulation::Simulation;
use super::simulation::MODELS;

/// Seed used unless `PROPTEST_RNG_SEED` is set.
const SEED: u64 = 20_261_204;

#[derive(Clone, Debug)]
enum Action {
    Run(usize),
    Poll(usize),
    DelayMessages(usize),
    Deliver(usize),
    Drop(usize),
    TimeOut(usize),
    Duplicate(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Stop(usize),
    Start(usize),
    DelayOrders(usize),
    DelayReplies(usize),
    ReportDemand(usize, u32),
    ClearEngine(usize),
    Drain(usize, bool),
    ReportEndedSenders,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (1usize..20).prop_map(Action::Run),
        3 => (0usize..3).prop_map(Action::Poll),
        3 => (1usize..4).prop_map(Action::DelayMessages),
        4 => any::<usize>().prop_map(Action::Deliver),
        1 => any::<usize>().prop_map(Action::Drop),
        2 => any::<usize>().prop_map(Action::TimeOut),
        2 => any::<usize>().prop_map(Action::Duplicate),
        2 => (0usize..3).prop_map(Action::Pause),
        2 => (0usize..3).prop_map(Action::Resume),
        1 => (0usize..3).prop_map(Action::Kill),
        2 => (0usize..3).prop_map(Action::Stop),
        4 => (0usize..3).prop_map(Action::Start),
        3 => (1usize..3).prop_map(Action::DelayOrders),
        2 => (1usize..3).prop_map(Action::DelayReplies),
        6 => (0usize..MODELS.len(), 0u32..200)
            .prop_map(|(model, waiting)| Action::ReportDemand(model, waiting)),
        1 => (0usize..2).prop_map(Action::ClearEngine),
        2 => (0usize..2, any::<bool>())
            .prop_map(|(engine, drained)| Action::Drain(engine, drained)),
        3 => Just(Action::ReportEndedSenders),
    ]
}

fn apply(sim: &mut Simulation, action: &Action) {
    let nodes = sim.nodes.len();
    match *action {
        Action::Run(steps) => sim.run(steps),
        Action::Poll(node) => sim.poll(node % nodes),
        Action::DelayMessages(count) => sim.delay_messages(count),
        Action::Deliver(choice) => sim.deliver_any(choice),
        Action::Drop(choice) => sim.drop_message(choice),
        Action::TimeOut(choice) => sim.time_out(choice),
        Action::Duplicate(choice) => sim.duplicate_order(choice),
        Action::Pause(node) => sim.nodes[node % nodes].paused = true,
        Action::Resume(node) => sim.nodes[node % nodes].paused = false,
        Action::Kill(node) => sim.kill(node % nodes),
        Action::Stop(node) => sim.nodes[node % nodes].planner.stop(),
        Action::Start(node) => sim.nodes[node % nodes].planner.start(),
        Action::DelayOrders(count) => sim.delay_orders(count),
        Action::DelayReplies(count) => sim.delay_replies(count),
        Action::ReportDemand(model, waiting) => sim.report_demand(model, waiting),
        Action::ClearEngine(engine) => sim.clear_engine(engine),
        Action::Drain(engine, drained) => sim.set_drained(engine, drained),
        Action::ReportEndedSenders => sim.report_ended_senders(),
    }
    sim.check_invariants();
}

fn config() -> ProptestConfig {
    let config = ProptestConfig { failure_persistence: None, ..Default::default() };
    match config.rng_seed {
        RngSeed::Random => ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..config },
        RngSeed::Fixed(_) => config,
    }
}

proptest! {
    #![proptest_config(config())]

    /// In any run, nothing is loaded without a decision, no memory is overcommitted and the weight
    /// store's limit holds. Once the faults end, every model with waiting requests is loaded.
    #[test]
    fn loads_never_exceed_decisions(
        nodes in 2usize..4,
        fenced in proptest::collection::vec(any::<bool>(), 2),
        actions in proptest::collection::vec(action(), 20..120),
    ) {
        let mut sim = Simulation::new(nodes, &fenced);
        for action in &actions {
            apply(&mut sim, action);
        }
        sim.end_faults();
        for _ in 0..300 {
            for model in 0..MODELS.len() {
                sim.report_demand(model, 1);
            }
            sim.run(10);
        }
        for (model, name) in MODELS.iter().enumerate() {
            let intents = sim.nodes[0].planner.intents();
            prop_assert!(sim.is_loaded(model), "{name} isn't loaded: {intents:#?}");
        }
    }
}

#[test]
fn demand_reports_of_many_routers_cause_one_load() {
    let mut sim = Simulation::new(2, &[true, false]);
    for _ in 0..10 {
        for router in 0..8 {
            for node in &mut sim.nodes {
                node.planner.report_demand(sim.now, "a", &format!("r{router}"), 1, 0);
            }
            sim.run(1);
        }
    }
    assert!(sim.is_loaded(0));
    assert_eq!(sim.load_count, 1);
}

#[test]
fn a_drained_upstream_keeps_its_replica_until_another_is_loaded() {
    let mut sim = Simulation::new(1, &[true, true]);
    for _ in 0..6 {
        sim.report_demand(0, 1);
        sim.run(10);
    }
    assert!(sim.is_loaded(0));
    let first = sim.engines.iter().position(|engine| !engine.replicas.is_empty()).expect("loaded");
    sim.set_drained(first, true);
    for _ in 0..100 {
        sim.report_demand(0, 1);
        sim.run(1);
        assert!(sim.is_loaded(0), "the replica was unloaded before another was loaded");
    }
    assert!(sim.engines[first].replicas.is_empty());
}

#[test]
fn a_model_is_loaded_elsewhere_when_its_engine_fails_during_the_load() {
    let mut sim = Simulation::new(1, &[true, false]);
    let loading_engine =
        |sim: &Simulation| sim.engines.iter().position(|engine| !engine.replicas.is_empty());
    while loading_engine(&sim).is_none() {
        sim.report_demand(0, 1);
        sim.run(1);
    }
    let failed = loading_engine(&sim).expect("the load has started");
    sim.engines[failed].unreachable = true;
    sim.clear_engine(failed);
    for _ in 0..60 {
        sim.report_demand(0, 1);
        sim.run(10);
    }
    assert!(sim.is_loaded(0));
    assert!(sim.engines[failed].replicas.is_empty());
}
