//! Planners that are killed, paused and doubled, on a network that loses, delays and doubles.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::world::World;
use super::world::MODELS;

/// Seed used unless `PROPTEST_RNG_SEED` names another.
const SEED: u64 = 20_261_204;

#[derive(Clone, Debug)]
enum Step {
    Run(usize),
    Poll(usize),
    Hold(usize),
    Release(usize),
    Lose(usize),
    TimeOut(usize),
    Double(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Stop(usize),
    Start(usize),
    Slow(usize),
    HoldStates(usize),
    Wake(usize, u32),
    Cold(usize),
    Drain(usize, bool),
    Evidence,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1usize..20).prop_map(Step::Run),
        3 => (0usize..3).prop_map(Step::Poll),
        3 => (1usize..4).prop_map(Step::Hold),
        4 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Lose),
        2 => any::<usize>().prop_map(Step::TimeOut),
        2 => any::<usize>().prop_map(Step::Double),
        2 => (0usize..3).prop_map(Step::Pause),
        2 => (0usize..3).prop_map(Step::Resume),
        1 => (0usize..3).prop_map(Step::Kill),
        2 => (0usize..3).prop_map(Step::Stop),
        4 => (0usize..3).prop_map(Step::Start),
        3 => (1usize..3).prop_map(Step::Slow),
        2 => (1usize..3).prop_map(Step::HoldStates),
        6 => (0usize..MODELS.len(), 0u32..200).prop_map(|(model, count)| Step::Wake(model, count)),
        1 => (0usize..2).prop_map(Step::Cold),
        2 => (0usize..2, any::<bool>()).prop_map(|(engine, out)| Step::Drain(engine, out)),
        3 => Just(Step::Evidence),
    ]
}

fn act(world: &mut World, step: &Step) {
    let nodes = world.nodes.len();
    match *step {
        Step::Run(steps) => world.run(steps),
        Step::Poll(node) => world.poll(node % nodes),
        Step::Hold(count) => world.hold(count),
        Step::Release(choice) => world.release(choice),
        Step::Lose(choice) => world.lose(choice),
        Step::TimeOut(choice) => world.time_out(choice),
        Step::Double(choice) => world.double(choice),
        Step::Pause(node) => world.nodes[node % nodes].paused = true,
        Step::Resume(node) => world.nodes[node % nodes].paused = false,
        Step::Kill(node) => world.kill(node % nodes),
        Step::Stop(node) => world.nodes[node % nodes].planner.stop(),
        Step::Start(node) => world.nodes[node % nodes].planner.start(),
        Step::Slow(count) => world.slow_orders(count),
        Step::HoldStates(count) => world.hold_states(count),
        Step::Wake(model, waiting) => world.wake(model, waiting),
        Step::Cold(engine) => world.cold(engine),
        Step::Drain(engine, drained) => world.drain(engine, drained),
        Step::Evidence => world.evidence(),
    }
    world.check();
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

    /// Whatever happens, nothing is loaded that isn't decided, no memory is overcommitted and the
    /// weight store's limit holds; and once faults end, every model that is waited for is loaded.
    #[test]
    fn loads_never_exceed_decisions(
        nodes in 2usize..4,
        fenced in proptest::collection::vec(any::<bool>(), 2),
        steps in proptest::collection::vec(step(), 20..120),
    ) {
        let mut world = World::new(nodes, &fenced);
        for step in &steps {
            act(&mut world, step);
        }
        world.heal();
        for _ in 0..300 {
            for model in 0..MODELS.len() {
                world.wake(model, 1);
            }
            world.run(10);
        }
        for (model, name) in MODELS.iter().enumerate() {
            let intents = world.nodes[0].planner.intents();
            prop_assert!(world.loaded(model), "{name} isn't loaded: {intents:#?}");
        }
    }
}

#[test]
fn wakes_of_many_routers_are_one_load() {
    let mut world = World::new(2, &[true, false]);
    for _ in 0..10 {
        for router in 0..8 {
            for node in &mut world.nodes {
                node.planner.report_demand(world.now, "a", &format!("r{router}"), 1, 0);
            }
            world.run(1);
        }
    }
    assert!(world.loaded(0));
    assert_eq!(world.loads, 1);
}

#[test]
fn a_drained_upstream_keeps_its_replica_until_another_is_loaded() {
    let mut world = World::new(1, &[true, true]);
    for _ in 0..6 {
        world.wake(0, 1);
        world.run(10);
    }
    assert!(world.loaded(0));
    let first = world.engines.iter().position(|engine| !engine.held.is_empty()).expect("loaded");
    world.drain(first, true);
    for _ in 0..100 {
        world.wake(0, 1);
        world.run(1);
        assert!(world.loaded(0), "the replica went before another was loaded");
    }
    assert!(world.engines[first].held.is_empty());
}

#[test]
fn a_model_is_loaded_elsewhere_when_its_engine_dies_in_the_load() {
    let mut world = World::new(1, &[true, false]);
    let start = |world: &World| world.engines.iter().position(|engine| !engine.held.is_empty());
    while start(&world).is_none() {
        world.wake(0, 1);
        world.run(1);
    }
    let dead = start(&world).expect("the load has started");
    world.engines[dead].silent = true;
    world.cold(dead);
    for _ in 0..60 {
        world.wake(0, 1);
        world.run(10);
    }
    assert!(world.loaded(0));
    assert!(world.engines[dead].held.is_empty());
}
