//! Tests of the quarantine of requests and prompt parts that crash engines, at one daemon and in
//! fleets whose reports get lost, late and reordered.

use std::iter;
use std::time::Duration;

use corianderyoke_coord::serving::quarantine::Admission;
use corianderyoke_coord::serving::quarantine::Casualty;
use corianderyoke_coord::serving::quarantine::Crash;
use corianderyoke_coord::serving::quarantine::Hold;
use corianderyoke_coord::serving::quarantine::Quarantine;
use corianderyoke_coord::serving::quarantine::QuarantineSettings;
use corianderyoke_coord::serving::quarantine::Subject;
use corianderyoke_coord::serving::quarantine::Verdict;
use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::ms;

/// Part that crashes engines.
const BAD: Subject = Subject::Part(0xbad);
/// First part of all prompts.
const FIRST: Subject = Subject::Part(1);
/// Part of few prompts.
const RARE: Subject = Subject::Part(2);
/// Request that crashes engines.
const POISON: Subject = Subject::Request(0xbad);

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineSettings::default())
}

fn crash(engine: u32) -> Crash {
    Crash { engine, started_ms: 1 }
}

fn casualty(engine: u32, attempt: u64, subjects: &[Subject], sent: Tick, ended: Tick) -> Casualty {
    Casualty { crash: crash(engine), attempt, subjects: subjects.to_vec(), sent, ended }
}

/// Records that an engine crashed under one request, which was sent 100 ms before.
fn crash_under(
    quarantine: &mut Quarantine,
    engine: u32,
    attempt: u64,
    subjects: &[Subject],
    at: u64,
) {
    quarantine.record_broken(casualty(engine, attempt, subjects, ms(at - 100), ms(at)), ms(at));
    quarantine.confirm(crash(engine), ms(at));
}

fn held(quarantine: &Quarantine) -> Vec<Subject> {
    quarantine.held_subjects().map(|(subject, _)| subject).collect()
}

/// Guards against engines that crash one after the other under requests with one part in common.
#[test]
fn part_of_a_chain_of_crashes_is_held_and_served_ones_are_not() {
    let mut quarantine = quarantine();
    quarantine.record_served(&[FIRST], true, ms(0));
    for (index, at) in [1_000, 1_200, 1_400].into_iter().enumerate() {
        assert!(held(&quarantine).is_empty(), "after {index} crashes");
        crash_under(&mut quarantine, index as u32, index as u64, &[FIRST, BAD], at);
    }
    assert_eq!(held(&quarantine), [BAD]);
    let refused = quarantine.admit(&[FIRST, BAD], |_| true, ms(2_000));
    assert_eq!(refused, Admission::Held(Duration::from_millis(59_400)));
    assert_eq!(quarantine.admit(&[FIRST], |_| true, ms(2_000)), Admission::Free);
}

/// Guards against reports that end the process or no longer fit a datagram, because of a verdict of
/// another daemon or a row of the store.
#[test]
fn failed_trials_and_rivals_of_a_verdict_are_bounded() {
    let mut quarantine = quarantine();
    let rivals: Vec<Subject> = (10..10_000).map(Subject::Part).collect();
    let hold = Hold { since: ms(0), failed_trials: u32::MAX, rivals: rivals.clone() };
    quarantine.apply(Verdict { subject: BAD, held: Some(hold), served: None });
    quarantine.restore(RARE, rivals, ms(0));
    assert!(quarantine.held_subjects().all(|(_, rivals)| rivals.len() < 10));
    assert_eq!(quarantine.admit(&[BAD], |_| true, ms(700_000)), Admission::Trial);
    crash_under(&mut quarantine, 1, 1, &[BAD], 700_100);
    let held = quarantine.admit(&[BAD], |_| true, ms(700_100));
    assert_eq!(held, Admission::Held(Duration::from_secs(600)));
}

/// Guards against blaming a part for engines that fail at the same time, for example with a rack.
#[test]
fn simultaneous_crashes_are_no_chain() {
    let mut quarantine = quarantine();
    for engine in 0..8 {
        crash_under(&mut quarantine, engine, u64::from(engine), &[FIRST], 1_000);
    }
    assert!(held(&quarantine).is_empty());
}

#[test]
fn one_request_alone_convicts_no_part() {
    let mut quarantine = quarantine();
    for engine in 0..5 {
        crash_under(&mut quarantine, engine, 7, &[RARE], 1_000 + u64::from(engine) * 200);
    }
    assert!(held(&quarantine).is_empty());
    assert!(quarantine.is_suspect(&[RARE], ms(3_000)), "it takes no further engine down");
    assert!(!quarantine.is_suspect(&[FIRST], ms(3_000)));
}

#[test]
fn connection_that_ends_without_a_crash_is_no_evidence() {
    let mut quarantine = quarantine();
    for engine in 0..8 {
        let at = ms(1_000 + u64::from(engine) * 200);
        let broken = casualty(engine, u64::from(engine), &[RARE], ms(0), at);
        assert!(quarantine.record_broken(broken, at));
        quarantine.dismiss(crash(engine));
    }
    assert!(held(&quarantine).is_empty() && !quarantine.is_suspect(&[RARE], ms(3_000)));
    assert_eq!(quarantine.entry_count(), 0);
}

/// Guards against blaming parts of sound requests that were at the same engines.
#[test]
fn crashes_under_a_held_part_are_no_evidence_against_others() {
    let mut quarantine = quarantine();
    for index in 0..20 {
        let at = 1_000 + u64::from(index) * 200;
        let sound = casualty(index, 100 + u64::from(index), &[RARE], ms(at - 100), ms(at));
        quarantine.record_broken(sound, ms(at));
        let parts: &[Subject] = if index < 2 { &[BAD] } else { &[BAD, FIRST] };
        crash_under(&mut quarantine, index, u64::from(index), parts, at);
        if index == 1 {
            quarantine.record_served(&[RARE], true, ms(at + 50));
        }
    }
    assert_eq!(held(&quarantine), [BAD]);
}

#[test]
fn complete_response_clears_a_part() {
    let mut quarantine = quarantine();
    for index in 0..3 {
        let at = 1_000 + u64::from(index) * 200;
        crash_under(&mut quarantine, index, u64::from(index), &[RARE], at);
    }
    assert_eq!(held(&quarantine), [RARE]);
    quarantine.record_served(&[RARE], true, ms(1_700));
    assert!(held(&quarantine).is_empty());
    assert_eq!(quarantine.take_changes(), [(RARE, true), (RARE, false)]);
}

/// Guards against a crash that looks like the end of a response without a length.
#[test]
fn response_that_ends_with_its_connection_clears_no_accused_part() {
    let mut quarantine = quarantine();
    crash_under(&mut quarantine, 1, 1, &[BAD], 1_000);
    quarantine.record_served(&[BAD], false, ms(1_100));
    crash_under(&mut quarantine, 2, 2, &[BAD], 1_300);
    quarantine.record_served(&[BAD], false, ms(1_400));
    crash_under(&mut quarantine, 3, 3, &[BAD], 1_600);
    assert_eq!(held(&quarantine), [BAD]);
}

/// Guards against a trial by each daemon of a large fleet.
#[test]
fn only_the_home_tries_a_part_again_and_a_crash_doubles_the_quarantine() {
    let mut quarantine = quarantine();
    for index in 0..3 {
        let at = 1_000 + u64::from(index) * 200;
        crash_under(&mut quarantine, index, u64::from(index), &[BAD], at);
    }
    let over = 1_400 + 60_000;
    assert!(matches!(quarantine.admit(&[BAD], |_| true, ms(over - 1)), Admission::Held(_)));
    assert!(matches!(quarantine.admit(&[BAD], |_| false, ms(over)), Admission::Held(_)));
    assert_eq!(quarantine.admit(&[BAD], |_| true, ms(over)), Admission::Trial);
    assert!(quarantine.held_for(&[BAD], ms(over)).is_none(), "the trial isn't given up");
    assert!(matches!(quarantine.admit(&[BAD], |_| true, ms(over + 1)), Admission::Held(_)));
    crash_under(&mut quarantine, 9, 9, &[BAD], over + 500);
    let refused = quarantine.admit(&[BAD], |_| true, ms(over + 500));
    assert_eq!(refused, Admission::Held(Duration::from_secs(120)));
}

#[test]
fn trial_tells_which_of_two_inseparable_parts_is_to_blame() {
    let mut quarantine = quarantine();
    for index in 0..3 {
        let at = 1_000 + u64::from(index) * 200;
        crash_under(&mut quarantine, index, u64::from(index), &[FIRST, BAD], at);
    }
    assert_eq!(held(&quarantine), [FIRST, BAD]);
    let both = quarantine.admit(&[FIRST, BAD], |_| true, ms(1_500));
    assert!(matches!(both, Admission::Held(_)), "its outcome would say nothing");
    assert_eq!(quarantine.admit(&[FIRST], |_| true, ms(1_500)), Admission::Trial);
    quarantine.record_served(&[FIRST], true, ms(1_600));
    assert_eq!(held(&quarantine), [BAD]);
    assert!(matches!(quarantine.admit(&[FIRST, BAD], |_| true, ms(1_700)), Admission::Held(_)));
}

/// Guards against a request without parts that comes again and crashes one engine after the other.
#[test]
fn request_that_crashes_engines_again_is_held_and_its_parts_are_not() {
    let mut quarantine = quarantine();
    for (index, at) in [1_000, 1_200, 1_400].into_iter().enumerate() {
        assert!(held(&quarantine).is_empty(), "after {index} crashes");
        crash_under(&mut quarantine, index as u32, index as u64, &[POISON, FIRST, RARE], at);
    }
    assert_eq!(held(&quarantine), [POISON]);
    assert!(quarantine.is_suspect(&[POISON], ms(1_500)));
    assert!(!quarantine.is_suspect(&[Subject::Request(7), FIRST], ms(1_500)));
    let refused = quarantine.admit(&[POISON, FIRST], |_| true, ms(1_500));
    assert!(matches!(refused, Admission::Held(_)));
    let sound = quarantine.admit(&[Subject::Request(7), FIRST, RARE], |_| true, ms(1_500));
    assert_eq!(sound, Admission::Free);
}

/// Guards against copies that crash all engines before any of them has ended.
#[test]
fn copies_of_a_request_at_the_same_time_are_evidence() {
    let mut quarantine = quarantine();
    for engine in 0..3 {
        let ended = ms(1_000 + u64::from(engine) * 30);
        let broken = casualty(engine, engine.into(), &[POISON], ms(950), ended);
        quarantine.record_broken(broken, ended);
        quarantine.confirm(crash(engine), ended);
    }
    assert_eq!(held(&quarantine), [POISON]);
}

/// Guards against blaming a request that many send for engines that fail with their rack.
#[test]
fn engines_that_fail_together_accuse_no_request() {
    let mut quarantine = quarantine();
    for engine in 0..8 {
        let ended = ms(1_000 + u64::from(engine) * 2);
        let broken = casualty(engine, engine.into(), &[POISON], ms(950), ended);
        quarantine.record_broken(broken, ended);
        quarantine.confirm(crash(engine), ended);
    }
    assert!(held(&quarantine).is_empty());
    assert!(!quarantine.is_suspect(&[POISON], ms(1_100)));
}

/// Guards against blaming a sound request that is repeated while others take its engines down.
#[test]
fn request_that_is_served_between_crashes_is_sound() {
    let mut quarantine = quarantine();
    for index in 0..8 {
        let at = 1_000 + u64::from(index) * 400;
        crash_under(&mut quarantine, index, index.into(), &[POISON], at);
        quarantine.record_served(&[POISON], true, ms(at + 200));
    }
    assert!(held(&quarantine).is_empty());
}

/// Guards against a part that goes unnoticed because each request with it is quarantined first.
#[test]
fn part_is_held_once_it_crashes_an_engine_under_another_request() {
    let mut quarantine = quarantine();
    for index in 0..3 {
        let at = 1_000 + u64::from(index) * 200;
        crash_under(&mut quarantine, index, index.into(), &[POISON, BAD], at);
    }
    assert_eq!(held(&quarantine), [POISON]);
    crash_under(&mut quarantine, 9, 9, &[Subject::Request(9), BAD], 2_000);
    assert_eq!(held(&quarantine), [POISON, BAD]);
}

/// Guards against memory that grows with the requests served.
#[test]
fn responses_to_requests_that_nobody_accuses_are_not_remembered() {
    let mut quarantine = quarantine();
    assert!(!quarantine.concerns_requests());
    quarantine.record_served(&[Subject::Request(5)], true, ms(0));
    assert_eq!(quarantine.entry_count(), 0);
    crash_under(&mut quarantine, 1, 1, &[POISON], 1_000);
    assert!(quarantine.concerns_requests());
    quarantine.prune(ms(1_000_000));
    assert!(!quarantine.concerns_requests());
}

#[test]
fn state_is_bounded_and_pruned() {
    let mut quarantine = quarantine();
    for index in 0..1_000_u32 {
        let at = 1_000 + u64::from(index) * 10;
        for request in 0..3 {
            let attempt = u64::from(index) * 10 + request;
            let parts = (0..20).map(|part| Subject::Part(u64::from(index) * 100 + part));
            let subjects: Vec<Subject> =
                iter::once(Subject::Request(attempt)).chain(parts).collect();
            let broken = casualty(index, attempt, &subjects, ms(at - 1), ms(at));
            quarantine.record_broken(broken, ms(at));
            let served = u64::from(index) * 1_000 + attempt;
            let served = [Subject::Part(served), Subject::Request(served), subjects[0]];
            quarantine.record_served(&served, true, ms(at));
        }
        quarantine.confirm(crash(index), ms(at));
        quarantine.prune(ms(at));
    }
    assert!(quarantine.entry_count() < 10_000, "{} entries", quarantine.entry_count());
    quarantine.prune(ms(10_000_000));
    assert_eq!(quarantine.entry_count(), 0);
}

/// Report on its way: the casualties and verdicts of a daemon, when they arrive and at whom.
struct Report {
    arrival: u64,
    from: usize,
    to: Vec<usize>,
    sender: Quarantine,
    is_relay: bool,
}

/// Fleet of daemons without a network. Up to 12 report to each other, more report through relays.
struct Fleet {
    daemons: Vec<Quarantine>,
    reports: Vec<Report>,
    rng: ChaCha8Rng,
    loss: f64,
    max_delay: u64,
}

/// What happened in a simulated run.
#[derive(Debug, Default)]
struct Outcome {
    /// Times of the crashes, in milliseconds.
    crashes: Vec<u64>,
    /// Times at which requests with the crashing part reached engines.
    reached: Vec<u64>,
    /// Sound requests that were refused, and all of them.
    refused: usize,
    sound: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64, loss: f64, max_delay: u64) -> Fleet {
        let daemons = (0..size).map(|_| quarantine()).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Fleet { daemons, reports: Vec::new(), rng, loss, max_delay }
    }

    fn send(&mut self, now: u64, from: usize, to: Vec<usize>, is_relay: bool) {
        let kept = to.into_iter().filter(|_| !self.rng.random_bool(self.loss)).collect();
        let arrival = now + self.rng.random_range(1..=self.max_delay);
        let sender = self.daemons[from].clone();
        self.reports.push(Report { arrival, from, to: kept, sender, is_relay });
    }

    /// Sends the reports that are due: each daemon's five times a second, and digests of relays.
    fn report(&mut self, now: u64) {
        let size = self.daemons.len();
        if size <= 12 {
            if now.is_multiple_of(200) {
                for from in 0..size {
                    self.send(now, from, (0..size).filter(|to| *to != from).collect(), false);
                }
            }
            return;
        }
        let interval = 200 * size.div_ceil(100) as u64;
        for from in 2..size {
            if (now + from as u64 * 10).is_multiple_of(interval) {
                self.send(now, from, vec![0, 1], false);
            }
        }
        if now.is_multiple_of(interval) {
            self.send(now, 0, (1..size).collect(), true);
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|r| r.arrival <= now);
        self.reports = waiting;
        for report in due {
            let casualties: Vec<Casualty> =
                report.sender.recent_casualties(report.is_relay).cloned().collect();
            let verdicts = report.sender.verdicts();
            let mut has_new = false;
            for to in report.to.into_iter().filter(|to| *to != report.from) {
                for verdict in &verdicts {
                    self.daemons[to].apply(verdict.clone());
                }
                for casualty in &casualties {
                    let is_new = self.daemons[to].record_reported(casualty.clone(), ms(now));
                    has_new |= is_new && to == 0;
                }
            }
            if has_new && self.daemons.len() > 12 {
                self.send(now, 0, (1..self.daemons.len()).collect(), true);
            }
        }
    }

    /// Sends the report of a daemon that learned of a crash.
    fn report_crash(&mut self, now: u64, from: usize) {
        let size = self.daemons.len();
        match size {
            0..=12 => self.send(now, from, (0..size).filter(|to| *to != from).collect(), false),
            _ if from == 0 => self.send(now, 0, (1..size).collect(), true),
            _ => self.send(now, from, vec![0, 1], false),
        }
    }

    /// Plays 25 s with two requests a second that crash engines, among many sound ones.
    fn play(&mut self, restarts: bool) -> Outcome {
        let size = self.daemons.len();
        let engines = (size * 2) as u32;
        let mut outcome = Outcome::default();
        // Time at which each engine is back, and the number of its process.
        let mut back = vec![(0, 0_u64); engines as usize];
        for now in (0..25_000).step_by(10) {
            self.deliver(now);
            self.report(now);
            if restarts && now % 5_000 == 4_990 {
                // A daemon starts again and learns the quarantined parts from the others only.
                let index = self.rng.random_range(2..size);
                self.daemons[index] = quarantine();
            }
            if now % 500 == 0 {
                self.daemons.iter_mut().for_each(|daemon| daemon.prune(ms(now)));
            }
            let daemon = self.rng.random_range(0..size);
            let parts = [FIRST, Subject::Part(1_000 + self.rng.random_range(0..50))];
            outcome.sound += 1;
            match self.daemons[daemon].admit(&parts, |_| false, ms(now)) {
                Admission::Held(_) => outcome.refused += 1,
                _ => self.daemons[daemon].record_served(&parts, true, ms(now)),
            }
            if now % 500 != 250 || now < 3_000 {
                continue;
            }
            let daemon = self.rng.random_range(0..size);
            let parts = [FIRST, BAD, Subject::Part(1_000 + self.rng.random_range(0..50))];
            if self.daemons[daemon].admit(&parts, |_| false, ms(now)) != Admission::Free {
                continue;
            }
            // The request goes on to a second engine.
            for attempt in 0..2 {
                let sent = now + attempt * 100;
                if attempt > 0 && self.daemons[daemon].is_suspect(&parts, ms(sent)) {
                    break;
                }
                let engine = self.rng.random_range(0..engines);
                let (until, process) = back[engine as usize];
                if until > sent {
                    break;
                }
                back[engine as usize] = (sent + 4_000, process + 1);
                outcome.reached.push(sent);
                outcome.crashes.push(sent + 90);
                let crash = Crash { engine, started_ms: process + 1 };
                // Another daemon has a sound request at the engine.
                let other = self.rng.random_range(0..size);
                let ended = ms(sent + 90);
                for (at, attempt, parts) in
                    [(other, now + 1, vec![FIRST, RARE]), (daemon, now, parts.to_vec())]
                {
                    // No two of these requests are alike.
                    let request = Subject::Request(attempt);
                    let subjects = iter::once(request).chain(parts).collect();
                    let casualty = Casualty { crash, attempt, subjects, sent: ms(sent), ended };
                    self.daemons[at].record_broken(casualty, ended);
                    self.daemons[at].confirm(crash, ended);
                    self.report_crash(sent + 90, at);
                }
            }
        }
        outcome
    }

    /// Plays 25 s with a request that crashes engines, of which `copies` come at once at any daemons,
    /// among many sound ones. Crashed engines are back after 3 s.
    fn play_request(&mut self, copies: u64, restarts: bool) -> Outcome {
        let size = self.daemons.len();
        let mut outcome = Outcome::default();
        let mut back = vec![(0, 0_u64); 6];
        for now in (0..25_000).step_by(10) {
            self.deliver(now);
            self.report(now);
            if restarts && now % 5_000 == 4_990 {
                let index = self.rng.random_range(2..size);
                self.daemons[index] = quarantine();
            }
            if now % 500 == 0 {
                self.daemons.iter_mut().for_each(|daemon| daemon.prune(ms(now)));
            }
            let daemon = self.rng.random_range(0..size);
            let sound = [Subject::Request(now + 1_000_000), FIRST, RARE];
            outcome.sound += 1;
            match self.daemons[daemon].admit(&sound, |_| false, ms(now)) {
                Admission::Held(_) => outcome.refused += 1,
                _ => self.daemons[daemon].record_served(&sound, true, ms(now)),
            }
            if now % 500 != 250 || now < 3_000 {
                continue;
            }
            for copy in 0..copies {
                self.send_poison(now + copy, &mut back, &mut outcome);
            }
        }
        outcome
    }

    /// Sends the request that crashes engines from any daemon, on to a second engine if it may be.
    fn send_poison(&mut self, now: u64, back: &mut [(u64, u64)], outcome: &mut Outcome) {
        let size = self.daemons.len();
        let daemon = self.rng.random_range(0..size);
        let subjects = [POISON, FIRST];
        if self.daemons[daemon].admit(&subjects, |_| false, ms(now)) != Admission::Free {
            return;
        }
        for attempt in 0..2 {
            let sent = now + attempt * 60;
            if attempt > 0 && self.daemons[daemon].is_suspect(&subjects, ms(sent)) {
                return;
            }
            let Some(engine) = back.iter().position(|(until, _)| *until <= sent) else { return };
            let process = back[engine].1 + 1;
            let ended = sent + self.rng.random_range(20..60);
            back[engine] = (ended + 3_000, process);
            outcome.reached.push(sent);
            outcome.crashes.push(ended);
            let crash = Crash { engine: engine as u32, started_ms: process };
            let other = self.rng.random_range(0..size);
            let sound = vec![Subject::Request(sent), FIRST, RARE];
            for (at, attempt, subjects) in
                [(other, sent + 500_000, sound), (daemon, now, subjects.to_vec())]
            {
                let at_end = ms(ended);
                let casualty = Casualty { crash, attempt, subjects, sent: ms(sent), ended: at_end };
                self.daemons[at].record_broken(casualty, at_end);
                self.daemons[at].confirm(crash, at_end);
                self.report_crash(ended, at);
            }
        }
    }
}

/// Guards against fleets of any size that pass on requests which crash engines, also while reports
/// are lost, late and reordered and daemons start again.
#[test]
fn every_fleet_holds_the_part_in_time_and_serves_sound_requests() {
    let mut summaries = Vec::new();
    for (size, loss, max_delay, restarts) in [
        (8, 0.0, 20, false),
        (8, 0.5, 900, true),
        (80, 0.0, 20, false),
        (80, 0.3, 700, true),
        (195, 0.3, 700, true),
        (510, 0.2, 400, true),
    ] {
        let outcome = Fleet::new(size, size as u64, loss, max_delay).play(restarts);
        let known = outcome.crashes.get(4).map_or(u64::MAX, |fifth| fifth + 3_000);
        let later = outcome.reached.iter().filter(|at| **at > known).count();
        assert!(later <= 3, "{size} daemons: {later} later requests");
        assert!(outcome.crashes.len() >= 3, "{size} daemons");
        assert!(outcome.refused * 100 <= outcome.sound, "{size} daemons: {outcome:?}");
        summaries.push((size, outcome.crashes.len(), outcome.refused));
    }
    insta::assert_debug_snapshot!(summaries);
}

/// Guards against fleets of any size that pass on a request which crashes engines, also while reports
/// are lost, late and reordered and daemons start again.
#[test]
fn every_fleet_holds_the_request_in_time_and_serves_sound_ones() {
    let mut summaries = Vec::new();
    for (size, loss, max_delay, restarts) in [
        (8, 0.0, 20, false),
        (8, 0.5, 900, true),
        (80, 0.0, 20, false),
        (80, 0.3, 700, true),
        (195, 0.3, 700, true),
        (510, 0.2, 400, true),
    ] {
        for copies in [1, 2, 6] {
            let mut fleet = Fleet::new(size, size as u64 + copies, loss, max_delay);
            let outcome = fleet.play_request(copies, restarts);
            let mut crashes = outcome.crashes.clone();
            crashes.sort_unstable();
            let known = crashes.get(2).map_or(u64::MAX, |third| third + 3_000);
            let later = outcome.reached.iter().filter(|at| **at > known).count();
            assert!(later <= 3, "{size} daemons, {copies} copies: {later} later requests");
            assert!(crashes.len() >= 3, "{size} daemons, {copies} copies");
            assert!(outcome.refused * 100 <= outcome.sound, "{size} daemons, {copies} copies");
            summaries.push((size, copies, crashes.len(), outcome.refused));
        }
    }
    insta::assert_debug_snapshot!(summaries);
}
