//! Tests of engines whose responses say that they leave or ask for a pause, at one daemon and in
//! fleets whose rows get lost, late and reordered.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Engines;
use corianderyoke_coord::serving::engines::Entry;
use corianderyoke_coord::serving::engines::Stage;
use corianderyoke_coord::serving::notice::Process;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::residency::Action;
use corianderyoke_coord::serving::residency::Answer;
use corianderyoke_coord::serving::residency::Op;
use corianderyoke_coord::serving::residency::Order;
use corianderyoke_coord::serving::residency::Planner;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::at;
use crate::fixtures::engine;
use crate::fixtures::engines;
use crate::fixtures::entry;
use crate::fixtures::model;
use crate::fixtures::ms;
use crate::fixtures::spec;
use crate::fixtures::SERVICE;

/// Returns the entry of an engine's process as of a version.
fn written(id: &str, started_ms: u64, version: u64) -> Entry {
    Entry { started_ms: Some(started_ms), position: at(version), ..entry(id, &[], &[]) }
}

fn process(started_ms: u64) -> Process {
    Process { address: entry("e1", &[], &[]).address, started_ms: Some(started_ms) }
}

/// Guards against an engine that leaves and whose entry, late or never updated, brings it back.
#[test]
fn engine_that_says_it_leaves_is_not_usable_whatever_its_entry_states() {
    let mut engines = engines(&[written("e1", 1, 1), written("e2", 1, 1)]);
    let (leaving, other) = (engine(&engines, "e1"), engine(&engines, "e2"));
    assert!(engines.record_leaving(leaving, process(1)));
    assert!(!engines.record_leaving(leaving, process(1)), "it is known already");
    assert_eq!(engines.usable(SERVICE, ms(0)), [other]);
    engines.upsert(written("e1", 1, 2), ms(10));
    engines.apply_relayed(written("e1", 1, 3), ms(20));
    engines.upsert(Entry { stage: Stage::Draining, ..written("e1", 1, 4) }, ms(30));
    engines.upsert(written("e1", 1, 5), ms(40));
    assert_eq!(engines.usable(SERVICE, ms(50)), [other]);
    assert!(!engines.accepts(leaving, process(1), ms(50)));
    assert!(engines.accepts(other, process(1), ms(50)));
    assert!(engines.get(leaving).is_some_and(|engine| engine.is_leaving()));
    // There is no other engine left.
    engines.remove("e2", at(6), ms(60));
    assert_eq!(engines.usable(SERVICE, ms(70)), []);
}

#[test]
fn next_process_of_an_engine_that_left_is_usable() {
    let mut engines = engines(&[written("e1", 1, 1)]);
    let key = engine(&engines, "e1");
    engines.record_leaving(key, process(1));
    assert_eq!(engines.upsert(written("e1", 2, 2), ms(10)), Change::Restarted);
    assert_eq!(engines.usable(SERVICE, ms(20)), [key]);
    // A response of the process before arrives late.
    assert!(!engines.record_leaving(key, process(1)));
    assert_eq!(engines.usable(SERVICE, ms(30)), [key]);
    assert!(!engines.accepts(key, process(1), ms(30)), "a request was about to be sent to it");
}

/// Guards against an engine that leaves and whose entry expires and comes back, or whose earlier
/// process a copy of the store lists.
#[test]
fn engine_that_leaves_is_not_usable_when_its_entry_is_written_again() {
    let mut engines = engines(&[written("e1", 2, 1)]);
    let key = engine(&engines, "e1");
    engines.record_leaving(key, process(2));
    engines.remove("e1", at(2), ms(10));
    assert_eq!(engines.upsert(written("e1", 2, 3), ms(20)), Change::Added);
    assert_eq!(engines.usable(SERVICE, ms(20)), []);
    engines.remove("e1", at(4), ms(30));
    engines.remove("e1", at(5), ms(40));
    engines.upsert(written("e1", 2, 6), ms(50));
    assert_eq!(engines.usable(SERVICE, ms(50)), []);
    let copied = |started_ms, version| {
        let position = Position { era: 1, version };
        Entry { position, ..written("e1", started_ms, 0) }
    };
    engines.upsert(copied(1, 3), ms(60));
    engines.upsert(copied(2, 4), ms(70));
    assert_eq!(engines.usable(SERVICE, ms(80)), []);
    engines.upsert(copied(3, 5), ms(90));
    assert_eq!(engines.usable(SERVICE, ms(90)), [key]);
}

#[test]
fn response_that_arrives_after_the_removal_counts_when_the_entry_is_written_again() {
    let mut engines = engines(&[written("e1", 1, 1)]);
    let key = engine(&engines, "e1");
    engines.remove("e1", at(2), ms(10));
    engines.record_leaving(key, process(1));
    engines.upsert(written("e1", 1, 3), ms(20));
    assert_eq!(engines.usable(SERVICE, ms(20)), []);
}

/// Guards against an engine without a start time that could never be used again.
#[test]
fn unreported_start_time_counts_as_another_one_after_the_removal() {
    let unreported = |version| Entry { started_ms: None, ..written("e1", 1, version) };
    let mut engines = engines(&[unreported(1)]);
    let key = engine(&engines, "e1");
    let process = Process { started_ms: None, ..process(1) };
    engines.record_leaving(key, process);
    engines.upsert(unreported(2), ms(10));
    assert_eq!(engines.usable(SERVICE, ms(10)), []);
    engines.remove("e1", at(3), ms(20));
    engines.upsert(unreported(4), ms(30));
    assert_eq!(engines.usable(SERVICE, ms(30)), [key]);
}

/// Guards against models that are loaded on an engine which leaves, also after an eviction there.
#[test]
fn engine_that_says_it_leaves_gets_no_loads() {
    let mut engines = engines(&[entry("e1", &["old"], &["m"]), entry("e2", &["old"], &[])]);
    let spec = spec(100_000.0, &["m", "old"]);
    let (wanted, old) = (model(&mut engines, "m"), model(&mut engines, "old"));
    let key = engine(&engines, "e1");
    let mut planner = Planner::default();
    planner.plan(SERVICE, &spec, &engines, ms(0));
    planner.record_waiting("daemon-1", wanted, 1, ms(5_000));
    let actions = planner.plan(SERVICE, &spec, &engines, ms(5_000));
    let [Action::Send(unload)] = actions[..] else { panic!("one order: {actions:?}") };
    assert_eq!((unload.engine, unload.op), (key, Op::Unload(old)));
    engines.record_leaving(key, process(1));
    planner.handle_answer(unload, Answer::Holds, &spec, &mut engines, ms(5_100));
    planner.record_waiting("daemon-1", wanted, 1, ms(5_200));
    let actions = planner.plan(SERVICE, &spec, &engines, ms(5_200));
    let engines_of = actions.iter().map(|action| match action {
        Action::Send(order) => order.engine,
        Action::Inspect(engine) => *engine,
    });
    let ordered: Vec<UpstreamKey> = engines_of.collect();
    assert_eq!(ordered, [engine(&engines, "e2")]);
}

/// Guards against requests to an engine during a pause that it asked for, also when there are no
/// others.
#[test]
fn engine_is_not_usable_until_the_latest_of_its_pauses_ends() {
    let mut engines = engines(&[written("e1", 1, 1), written("e2", 1, 1)]);
    let (paused, other) = (engine(&engines, "e1"), engine(&engines, "e2"));
    let pause = |engines: &mut Engines, millis, now| {
        engines.record_pause(paused, process(1), Duration::from_millis(millis), ms(now))
    };
    assert!(pause(&mut engines, 3_000, 0));
    assert!(!pause(&mut engines, 1_000, 100), "it ends earlier");
    assert!(!pause(&mut engines, 3_000, 100), "it hardly ends later");
    assert!(pause(&mut engines, 4_000, 200));
    assert!(!pause(&mut engines, 0, 300));
    engines.upsert(written("e1", 1, 2), ms(400));
    assert_eq!(engines.usable(SERVICE, ms(4_199)), [other]);
    assert_eq!(engines.paused(SERVICE, ms(3_200)), [(paused, Duration::from_secs(1))]);
    assert!(!engines.accepts(paused, process(1), ms(4_199)));
    // An engine that failed is used before one that asked for a pause.
    engines.record_failure(other, ms(4_100));
    assert_eq!(engines.usable(SERVICE, ms(4_199)), [other]);
    engines.remove("e2", at(3), ms(4_199));
    assert_eq!(engines.usable(SERVICE, ms(4_199)), []);
    assert_eq!(engines.usable(SERVICE, ms(4_200)), [paused]);
    assert!(engines.accepts(paused, process(1), ms(4_200)));
    assert_eq!(engines.paused(SERVICE, ms(4_200)), []);
    assert!(pause(&mut engines, 100, 4_300), "it is the next one");
}

#[test]
fn pause_ends_with_the_process_and_outlives_an_entry_that_expired() {
    let mut engines = engines(&[written("e1", 1, 1)]);
    let key = engine(&engines, "e1");
    engines.record_pause(key, process(1), Duration::from_secs(60), ms(0));
    engines.remove("e1", at(2), ms(10));
    engines.upsert(written("e1", 1, 3), ms(20));
    assert_eq!(engines.usable(SERVICE, ms(9_990)), []);
    engines.upsert(written("e1", 2, 4), ms(10_000));
    assert_eq!(engines.usable(SERVICE, ms(10_000)), [key]);
    // A response of the process before arrives late.
    assert!(!engines.record_pause(key, process(1), Duration::from_secs(9), ms(10_010)));
    assert_eq!(engines.usable(SERVICE, ms(10_020)), [key]);
}

/// Guards against a pause that is lost because the engine's first response came before its entry.
#[test]
fn pause_that_the_next_process_asked_for_before_its_entry_arrived_is_kept() {
    let mut engines = engines(&[written("e1", 1, 1)]);
    let key = engine(&engines, "e1");
    engines.record_pause(key, process(1), Duration::from_secs(4), ms(0));
    engines.upsert(written("e1", 2, 2), ms(500));
    assert_eq!(engines.usable(SERVICE, ms(3_990)), []);
    assert_eq!(engines.usable(SERVICE, ms(4_000)), [key]);
    // It isn't clear whether this process asked for the long one.
    engines.record_pause(key, process(2), Duration::from_secs(3_600), ms(5_000));
    engines.upsert(written("e1", 3, 3), ms(6_000));
    assert_eq!(engines.usable(SERVICE, ms(34_990)), []);
    assert_eq!(engines.usable(SERVICE, ms(35_000)), [key]);
    // A copy of the store lists an earlier process.
    engines.record_pause(key, process(3), Duration::from_secs(4), ms(36_000));
    engines.upsert(written("e1", 2, 4), ms(36_500));
    engines.upsert(written("e1", 3, 5), ms(37_000));
    assert_eq!(engines.usable(SERVICE, ms(37_010)), []);
}

#[test]
fn engine_that_leaves_in_a_pause_is_not_usable_after_it() {
    let mut engines = engines(&[written("e1", 1, 1)]);
    let key = engine(&engines, "e1");
    engines.record_pause(key, process(1), Duration::from_secs(1), ms(0));
    engines.record_leaving(key, process(1));
    assert_eq!(engines.paused(SERVICE, ms(0)), []);
    assert_eq!(engines.usable(SERVICE, ms(2_000)), []);
}

/// Guards against reports, loads and evictions on an engine that asked for a pause, and against
/// models that are loaded nowhere because only such an engine holds them.
#[test]
fn model_of_an_engine_in_a_pause_is_loaded_elsewhere() {
    let mut engines = engines(&[entry("e1", &["m"], &[]), entry("e2", &[], &["m"])]);
    let spec = spec(100_000.0, &["m"]);
    let wanted = model(&mut engines, "m");
    let (paused, other) = (engine(&engines, "e1"), engine(&engines, "e2"));
    let mut planner = Planner::default();
    planner.begin_term(&engines, ms(0));
    engines.record_pause(paused, process(1), Duration::from_secs(9), ms(0));
    for at in [0, 2_000, 5_000] {
        for action in planner.plan(SERVICE, &spec, &engines, ms(at)) {
            assert_eq!(action, Action::Inspect(other), "at {at} ms");
            planner.handle_inspection(other, false, ms(at));
        }
    }
    planner.record_waiting("daemon-1", wanted, 1, ms(8_000));
    let actions = planner.plan(SERVICE, &spec, &engines, ms(8_000));
    let order = Order { engine: other, op: Op::Load(wanted), expected: 0 };
    assert_eq!(actions, [Action::Send(order)]);
    let actions = planner.plan(SERVICE, &spec, &engines, ms(9_000));
    assert_eq!(actions, [Action::Inspect(paused)]);
}

const ENGINES: u64 = 6;

/// Process of a simulated engine. An engine starts again under its identity.
#[derive(Clone, Copy)]
struct Running {
    started_ms: u64,
    is_leaving: bool,
}

/// Message to a daemon, with the time at which it arrives.
enum Message {
    Row(Box<Entry>),
    Removal(String, u64),
    Leaving(UpstreamKey, Process),
    Pause(UpstreamKey, Process, Duration),
}

#[derive(Default)]
struct Daemon {
    engines: Engines,
    inbox: Vec<(u64, Message)>,
    /// Processes of which it knows that they leave.
    leaving: IndexSet<(UpstreamKey, u64)>,
    /// Ends of the pauses that processes asked it for.
    paused: IndexMap<(UpstreamKey, u64), u64>,
}

impl Daemon {
    fn receive(&mut self, until: u64, rng: &mut ChaCha8Rng) {
        let (due, later) = self.inbox.drain(..).partition(|(at, _)| *at <= until);
        self.inbox = later;
        let due: Vec<(u64, Message)> = due;
        for (arrived, message) in due {
            match message {
                Message::Row(entry) if rng.random_bool(0.5) => {
                    self.engines.upsert(*entry, ms(arrived));
                }
                Message::Row(entry) => {
                    self.engines.apply_relayed(*entry, ms(arrived));
                }
                Message::Removal(id, version) => {
                    self.engines.remove(&id, at(version), ms(arrived));
                }
                Message::Leaving(key, process) => {
                    self.engines.record_leaving(key, process);
                    self.leaving.extend(process.started_ms.map(|started| (key, started)));
                }
                Message::Pause(key, process, span) => {
                    self.engines.record_pause(key, process, span, ms(arrived));
                    let started_ms = process.started_ms.expect("all entries state it");
                    let end = self.paused.entry((key, started_ms)).or_default();
                    *end = (*end).max(arrived + span.as_millis() as u64);
                }
            }
        }
    }

    /// Sends a request to one of the usable engines and returns that, with its process as far as the
    /// daemon knows.
    fn send(&self, now: u64, rng: &mut ChaCha8Rng) -> Option<(UpstreamKey, Process)> {
        let usable = self.engines.usable(SERVICE, ms(now));
        let key = *usable.get(rng.random_range(0..usable.len().max(1)))?;
        Some((key, self.engines.get(key)?.process()))
    }
}

/// Guards against daemons that send requests to an engine after it told them that it leaves, or in a
/// pause that it asked for, in fleets of any size. Engines leave, restart, expire and come back; rows
/// are lost, late and reordered, and none says that an engine drains.
#[test]
fn daemons_of_fleets_of_any_size_send_nothing_to_engines_that_leave_or_pause() {
    for size in [8, 80, 195, 510] {
        let mut rng = ChaCha8Rng::seed_from_u64(size);
        let mut fleet: Vec<Daemon> = (0..size).map(|_| Daemon::default()).collect();
        let mut running = vec![Running { started_ms: 1, is_leaving: false }; ENGINES as usize];
        let (mut version, mut sent, mut told, mut refused) = (0, 0, 0, 0);
        for now in (0..30_000).step_by(100) {
            for (number, process) in running.iter_mut().enumerate() {
                let id = format!("e{number}");
                match rng.random_range(0..300) {
                    0..4 => process.is_leaving = true,
                    4..6 => *process = Running { started_ms: now + 2, is_leaving: false },
                    _ => {}
                }
                // The entry is written at times, also by an engine that leaves; at others it expires.
                version += 1;
                let (is_written, is_expired) = (rng.random_bool(0.2), rng.random_bool(0.01));
                for daemon in fleet.iter_mut().filter(|_| is_written || is_expired) {
                    let message = if is_written {
                        Message::Row(Box::new(written(&id, process.started_ms, version)))
                    } else {
                        Message::Removal(id.clone(), version)
                    };
                    if rng.random_bool(0.8) {
                        daemon.inbox.push((now + rng.random_range(0..2_000), message));
                    }
                }
            }
            for daemon in &mut fleet {
                daemon.receive(now, &mut rng);
                let Some((key, known)) = daemon.send(now, &mut rng) else { continue };
                let started_ms = known.started_ms.expect("all entries state it");
                let process = (key, started_ms);
                let paused_until = daemon.paused.get(&process).copied().unwrap_or(0);
                let may_send = !daemon.leaving.contains(&process) && paused_until <= now;
                assert!(may_send, "{size} daemons: sent at {now} ms");
                sent += 1;
                let id = daemon.engines.names.engines.name(key);
                let process = running[id[1..].parse::<usize>().expect("a number")];
                if process.started_ms != started_ms {
                    continue;
                }
                let arrives = now + rng.random_range(0..300);
                if process.is_leaving {
                    told += 1;
                    daemon.inbox.push((arrives, Message::Leaving(key, known)));
                }
                if rng.random_bool(0.1) {
                    refused += 1;
                    let span = Duration::from_millis(rng.random_range(0..4_000));
                    daemon.inbox.push((arrives, Message::Pause(key, known, span)));
                }
            }
        }
        let counts = format!("{size} daemons: {sent} sent, {told} told, {refused} refused");
        assert!(sent > size * 100 && told > size * 5 && refused > size * 10, "{counts}");
        for daemon in &mut fleet {
            daemon.receive(60_000, &mut rng);
            for number in 0..ENGINES {
                let (id, version) = (format!("e{number}"), version + number + 1);
                daemon.engines.upsert(written(&id, 50_000, version), ms(60_000));
            }
            assert_eq!(daemon.engines.usable(SERVICE, ms(60_000)).len(), ENGINES as usize);
            assert!(daemon.engines.entry_count() <= 2 * ENGINES as usize);
        }
    }
}

/// Guards against notices of removed engines that are kept for ever.
#[test]
fn notices_of_removed_engines_are_dropped() {
    let mut engines = Engines::default();
    for number in 0..2_000 {
        let id = format!("e{number}");
        engines.upsert(written(&id, 1, 1), ms(0));
        engines.record_leaving(engine(&engines, &id), process(1));
        engines.remove(&id, at(2), ms(0));
        // Responses of removed engines arrive as well.
        engines.record_leaving(engine(&engines, &id), process(1));
    }
    assert_eq!(engines.entry_count(), 512);
    engines.record_leaving(engine(&engines, "e0"), process(1));
    assert_eq!(engines.entry_count(), 512);
}

/// Guards against an engine whose new process says that it leaves before its entry arrives, which a
/// silent store delays: it got requests again once the entry came.
#[test]
fn process_that_says_it_leaves_before_its_entry_arrives_stays_away() {
    let mut engines = engines(&[written("e1", 1, 1), written("e2", 1, 1)]);
    let (leaving, other) = (engine(&engines, "e1"), engine(&engines, "e2"));
    // The first process has ended, and the second one answers at the same address.
    assert!(engines.record_leaving(leaving, process(1)));
    engines.record_unclear(leaving, process(1), ms(1_000));
    engines.upsert(written("e1", 2, 2), ms(3_000));
    assert_eq!(engines.usable(SERVICE, ms(3_000)), [other]);
    assert!(!engines.accepts(leaving, process(2), ms(10_900)));
    // It may have been the first process all the same.
    assert!(engines.accepts(leaving, process(2), ms(11_000)));
}

#[test]
fn process_after_one_that_surely_left_is_used_at_once() {
    let mut engines = engines(&[written("e1", 1, 1)]);
    let key = engine(&engines, "e1");
    assert!(engines.record_leaving(key, process(1)));
    engines.upsert(written("e1", 2, 2), ms(3_000));
    assert_eq!(engines.usable(SERVICE, ms(3_000)), [key]);
}
