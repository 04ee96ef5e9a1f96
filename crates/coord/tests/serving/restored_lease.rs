//! Tests of the lease on a store that comes back from older copies.

use std::time::Duration;

use corianderyoke_coord::serving::lease::ClockReading;
use corianderyoke_coord::serving::lease::Lease;
use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::LeaseSettings;
use corianderyoke_coord::serving::lease::LeaseWrite;
use corianderyoke_coord::serving::lease::Step;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::ms;

/// Time between the orders of two holders.
const HANDOVER: Duration = Duration::from_secs(3);
/// Interval between two looks at all daemons, in milliseconds.
const INTERVAL: u64 = 20;
/// Longest time after a restoration for which nobody may hold the lease, in milliseconds: an unknown
/// holder's term, the handover period, and a second to learn of it and to agree.
const MAX_VACANCY: u64 = 3_800 + 3_000 + 1_000;

/// Store with the lease row, which other writes surround.
#[derive(Clone)]
struct Store {
    era: u64,
    version: u64,
    row: Option<LeaseRow>,
    row_version: u64,
    /// Time by the store's clock at tick 0, in milliseconds.
    clock: u64,
}

impl Store {
    fn new() -> Store {
        Store { era: 1, version: 5, row: None, row_version: 0, clock: 500_000 }
    }

    fn reading(&self, now: Tick) -> ClockReading {
        let time = StoreTime(self.clock + now.0 / 1_000);
        ClockReading { time, sent: now, received: now + Duration::from_millis(10) }
    }

    fn position(&self) -> Position {
        Position { era: self.era, version: self.row_version }
    }

    /// Executes a write if its condition holds.
    fn write(&mut self, write: &LeaseWrite) -> bool {
        let holds = write.expected == self.row_version;
        if holds {
            self.version += 1;
            self.row_version = self.version;
            self.row = Some(write.row.clone());
        }
        holds
    }

    /// Comes back from an older copy, on another machine with another clock.
    fn restore(&mut self, copy: Store, clock: u64) {
        *self = Store { era: self.era + 1, clock, ..copy };
    }
}

/// Performs all steps of a daemon that are due.
fn drive(lease: &mut Lease, store: &mut Store, now: Tick) {
    loop {
        match lease.step(now) {
            Step::Wait(_) => return,
            Step::Read => {
                lease.record_read(store.row.clone(), store.position(), store.reading(now));
            }
            Step::Write(write) if store.write(&write) => {
                lease.record_write(&write, store.position(), store.reading(now));
            }
            Step::Write(_) => lease.record_conflict(store.era, now),
        }
    }
}

fn lease(name: &str, first_start: bool) -> Lease {
    Lease::new(LeaseSettings { first_start, ..LeaseSettings::default() }, name)
}

/// Returns a daemon that holds the lease at 2 s.
fn holder(name: &str, store: &mut Store) -> Lease {
    let mut lease = lease(name, true);
    for at in (0..=2_000).step_by(20) {
        drive(&mut lease, store, ms(at));
    }
    assert!(lease.token(ms(2_000)).is_some());
    lease
}

#[test]
fn holder_goes_on_with_a_token_of_the_new_era() {
    let mut store = Store::new();
    let mut first = holder("d1", &mut store);
    let before = first.token(ms(2_000)).expect("it holds the lease");
    let copy = store.clone();
    drive(&mut first, &mut store, ms(2_300));
    store.restore(copy, 900_000);
    // The renewal finds another version of the row.
    drive(&mut first, &mut store, ms(2_600));
    let after = first.token(ms(2_600)).expect("it holds the lease");
    assert!(after > before);
    assert_eq!(after >> 40, 2);
}

/// Guards against an outage that ends the term of the holder before the store comes back.
#[test]
fn holder_whose_term_ended_during_the_outage_goes_on() {
    let mut store = Store::new();
    let mut first = holder("d1", &mut store);
    let copy = store.clone();
    drive(&mut first, &mut store, ms(2_300));
    assert_eq!(first.token(ms(4_300)), None);
    store.restore(copy, 900_000);
    first.record_era(2, ms(4_300));
    drive(&mut first, &mut store, ms(4_320));
    assert!(first.token(ms(4_320)).is_some());
}

/// Guards against a former holder that claims the lease though another one may have succeeded it.
#[test]
fn holder_of_long_ago_waits_like_the_others() {
    let mut store = Store::new();
    let mut first = holder("d1", &mut store);
    let copy = store.clone();
    // A successor could have claimed the lease from 5.9 s on.
    store.restore(copy, 900_000);
    first.record_era(2, ms(6_000));
    drive(&mut first, &mut store, ms(6_000));
    assert_eq!(first.token(ms(6_000)), None);
}

/// Guards against a holder that takes its row in the copy for its latest term.
#[test]
fn former_holder_in_the_copy_waits_for_the_unknown_one() {
    let mut store = Store::new();
    holder("d1", &mut store);
    let copy = store.clone();
    store.restore(copy, 500_000);
    // Another daemon had taken over since the copy; nobody here knows of it.
    let mut restarted = lease("d1", false);
    for at in (3_000..9_000).step_by(20) {
        drive(&mut restarted, &mut store, ms(at));
        assert_eq!(restarted.token(ms(at)), None, "at {at} ms");
    }
    drive(&mut restarted, &mut store, ms(10_000));
    assert!(restarted.token(ms(10_000)).is_some());
}

/// Guards against a write of the earlier era whose condition holds by chance in the new one.
#[test]
fn write_whose_version_was_given_out_again_gives_nobody_the_lease() {
    let mut store = Store::new();
    let mut first = holder("d1", &mut store);
    let copy = store.clone();
    let Step::Write(late) = first.step(ms(2_300)) else { panic!("a renewal is due") };
    first.record_timeout();
    store.restore(copy, 500_000);
    assert!(store.write(&late), "the row has the same version in the copy");
    let mut second = lease("d2", false);
    drive(&mut second, &mut store, ms(2_400));
    assert_eq!(second.token(ms(2_400)), None);
    // The response of such a write tells the holder of the new era.
    first.record_write(&late, store.position(), store.reading(ms(2_400)));
    assert_eq!(first.token(ms(2_400)), None);
}

/// Guards against a holder of the earlier era that claims the lease at once a second time, when a
/// late write has put its row back over that of its successor.
#[test]
fn last_holder_before_a_restoration_has_one_claim_without_waiting() {
    let mut store = Store::new();
    let mut first = holder("d1", &mut store);
    let copy = store.clone();
    let Step::Write(late) = first.step(ms(2_300)) else { panic!("a renewal is due") };
    store.restore(copy, 500_000);
    first.record_era(2, ms(2_400));
    let mut second = lease("d2", false);
    let taken = (2_400..20_000).step_by(20).find(|&at| {
        drive(&mut second, &mut store, ms(at));
        second.token(ms(at)).is_some()
    });
    let taken = taken.expect("it acquires the lease");
    drive(&mut first, &mut store, ms(taken));
    assert_eq!(first.token(ms(taken)), None, "another daemon holds it");
    store.row = Some(late.row);
    store.version += 1;
    store.row_version = store.version;
    first.record_fenced();
    drive(&mut first, &mut store, ms(taken + 40));
    assert!(second.token(ms(taken + 40)).is_some());
    assert_eq!(first.token(ms(taken + 40)), None);
}

#[test]
fn late_messages_of_an_earlier_era_change_nothing() {
    let mut store = Store::new();
    let mut first = holder("d1", &mut store);
    let (row, earlier) = (store.row.clone(), store.position());
    let reading = store.reading(ms(2_000));
    let copy = store.clone();
    store.restore(copy, 900_000);
    drive(&mut first, &mut store, ms(2_600));
    let token = first.token(ms(2_600));
    assert!(token.is_some());
    first.record_read(row.clone(), earlier, reading);
    first.record_announcement(row.expect("it was written"), earlier, ms(2_610));
    assert_eq!(first.token(ms(2_620)), token);
}

/// Fleet whose daemons are killed, start again and are cut off from the store and from each other.
struct Fleet {
    rng: ChaCha8Rng,
    store: Store,
    copies: Vec<Store>,
    leases: Vec<Lease>,
    /// Time until which a daemon doesn't reach the store.
    cut: Vec<u64>,
    /// Writes that the store executes later, with the time.
    late: Vec<(u64, LeaseWrite)>,
    /// Latest orders: who could send them, with which token, and when.
    last: Option<(usize, u64, Tick)>,
    /// Time since which nobody holds the lease though the store answers.
    vacant_since: Tick,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        let ranked = |index: usize| {
            let mut lease = lease(&format!("d{index}"), true);
            lease.set_rank(index);
            lease
        };
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::new(),
            copies: Vec::new(),
            leases: (0..size).map(ranked).collect(),
            cut: vec![0; size],
            late: Vec::new(),
            last: None,
            vacant_since: ms(0),
        }
    }

    fn disturb(&mut self, at: u64) {
        let index = self.rng.random_range(0..self.leases.len());
        let holder = self.last.map_or(index, |(holder, ..)| holder);
        let victim = if self.rng.random_bool(0.5) { holder } else { index };
        match self.rng.random_range(0..100) {
            0 => {
                let name = format!("d{victim}");
                self.leases[victim] = lease(&name, false);
                self.leases[victim].set_rank(self.rng.random_range(0..8));
            }
            1 => self.cut[victim] = at + self.rng.random_range(100..6_000),
            2 | 3 => self.copies.push(self.store.clone()),
            4 if !self.copies.is_empty() && self.rng.random_bool(0.4) => {
                let age = self.rng.random_range(0..self.copies.len());
                let copy = self.copies.swap_remove(age);
                let clock = self.rng.random_range(0..1_000_000);
                self.store.restore(copy, clock);
                // Writes of others raise the version again.
                self.store.version += self.rng.random_range(0..4);
                self.vacant_since = ms(at);
            }
            _ => {}
        }
        self.late.retain(|(due, write)| {
            let is_due = *due <= at;
            if is_due {
                self.store.write(write);
            }
            !is_due
        });
    }

    fn drive(&mut self, index: usize, at: u64) {
        let (lease, now) = (&mut self.leases[index], ms(at));
        if self.cut[index] > at {
            return;
        }
        if let Step::Write(write) = lease.step(now) {
            if self.rng.random_bool(0.02) {
                // No response arrives; the store may execute the write later.
                self.late.push((at + self.rng.random_range(0..4_000), write));
                lease.record_timeout();
                return;
            }
        }
        // Reads of the tables show the era, twice a second.
        if self.rng.random_bool(INTERVAL as f64 / 500.0) {
            lease.record_era(self.store.era, now);
        }
        drive(lease, &mut self.store, now);
    }

    /// Checks who may send orders now, and tells the others of it, half of the time.
    fn check(&mut self, at: u64) {
        let now = ms(at);
        let holders: Vec<(usize, u64)> = self
            .leases
            .iter()
            .enumerate()
            .filter_map(|(index, lease)| Some((index, lease.token(now)?)))
            .collect();
        for &(index, token) in &holders {
            if let Some((before, last_token, last_at)) = self.last {
                assert!(token >= last_token, "at {at} ms: token {token} after {last_token}");
                if before != index {
                    assert!(token > last_token, "at {at} ms: token {token} of two holders");
                    let gap = now.since(last_at);
                    assert!(gap >= HANDOVER, "at {at} ms: {gap:?} after another holder");
                }
            }
            self.last = Some((index, token, now));
            self.vacant_since = now;
            let (position, until) = self.leases[index].last_seen();
            let row = LeaseRow { holder: format!("d{index}"), token, until };
            for other in 0..self.leases.len() {
                if other != index && self.rng.random_bool(0.5) {
                    self.leases[other].record_announcement(row.clone(), position, now);
                }
            }
        }
    }
}

/// Guards against tokens that are given out twice and holders that overlap when restorations meet
/// kills, cuts and late writes.
#[test]
fn no_two_holders_act_within_the_handover_period_through_restorations() {
    for (size, seeds) in [(8, 0..60), (80, 60..66), (195, 66..69), (510, 69..71)] {
        for seed in seeds {
            let mut fleet = Fleet::new(size, seed);
            for at in (0..60_000).step_by(INTERVAL as usize) {
                fleet.disturb(at);
                for index in 0..size {
                    fleet.drive(index, at);
                }
                fleet.check(at);
            }
            assert!(fleet.store.era > 1, "seed {seed}: no restoration");
        }
    }
}

/// Guards against a lease that nobody takes after a restoration.
#[test]
fn lease_is_held_soon_after_a_restoration_without_its_holder() {
    for size in [8, 80, 195, 510] {
        let mut fleet = Fleet::new(size, 1);
        let run = |fleet: &mut Fleet, from: u64, to: u64| {
            for at in (from..to).step_by(INTERVAL as usize) {
                for index in 0..size {
                    fleet.drive(index, at);
                }
                fleet.check(at);
            }
        };
        run(&mut fleet, 0, 3_000);
        let copy = fleet.store.clone();
        run(&mut fleet, 3_000, 6_000);
        fleet.store.restore(copy, 100);
        let (holder, ..) = fleet.last.expect("somebody holds the lease");
        fleet.leases[holder] = lease(&format!("d{holder}"), false);
        fleet.leases[holder].set_rank(size - 1);
        run(&mut fleet, 6_000, 6_000 + MAX_VACANCY);
        let vacancy = ms(6_000 + MAX_VACANCY).since(fleet.vacant_since);
        assert!(vacancy < Duration::from_millis(INTERVAL * 2), "vacant for {vacancy:?}");
        let (_, token, _) = fleet.last.expect("somebody holds the lease");
        assert_eq!(token >> 40, 2);
    }
}
