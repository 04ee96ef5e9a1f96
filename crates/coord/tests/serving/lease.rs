//! Tests of the lease with several daemons and one row.

use std::time::Duration;

use corianderyoke_coord::serving::lease::ClockReading;
use corianderyoke_coord::serving::lease::Lease;
use corianderyoke_coord::serving::lease::LeaseRow;
use corianderyoke_coord::serving::lease::LeaseSettings;
use corianderyoke_coord::serving::lease::Step;
use corianderyoke_coord::serving::lease::StoreTime;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::time::Tick;
use proptest::prelude::*;

use crate::fixtures::at;
use crate::fixtures::ms;

/// Row in the store.
#[derive(Default)]
struct Row {
    content: Option<LeaseRow>,
    version: u64,
}

impl Row {
    fn position(&self) -> Position {
        at(self.version)
    }
}

/// Returns a reading of the store's clock, which started long before the daemons, by a call that
/// took 10 ms.
fn reading(now: Tick) -> ClockReading {
    let time = StoreTime(500_000 + now.0 / 1_000);
    ClockReading { time, sent: now, received: now + Duration::from_millis(10) }
}

/// Performs all steps of a daemon that are due.
fn drive(lease: &mut Lease, row: &mut Row, now: Tick) {
    loop {
        match lease.step(now) {
            Step::Wait(_) => return,
            Step::Read => lease.record_read(row.content.clone(), row.position(), reading(now)),
            Step::Write(write) if write.expected == row.version => {
                row.version += 1;
                row.content = Some(write.row.clone());
                lease.record_write(&write, row.position(), reading(now));
            }
            Step::Write(_) => lease.record_conflict(0, now),
        }
    }
}

/// Returns the state of a daemon that doesn't wait for other candidates.
fn lease(name: &str) -> Lease {
    let settings = LeaseSettings { settling: Duration::ZERO, ..LeaseSettings::default() };
    Lease::new(settings, name)
}

/// Returns when a daemon that checks the lease every 20 ms acquires it, from `from` on.
fn takeover_at(lease: &mut Lease, row: &mut Row, from: u64) -> Option<u64> {
    (from..from + 10_000).step_by(20).find(|&at| {
        drive(lease, row, ms(at));
        lease.token(ms(at)).is_some()
    })
}

/// Guards against a row of another writer that keeps the lease from all daemons, or ends the process.
#[test]
fn row_with_a_term_out_of_range_blocks_the_lease_for_a_limited_time() {
    for until in [u64::MAX, u64::MAX - 1_000, 1 << 53, 0] {
        let content = LeaseRow { holder: "odd".into(), token: u64::MAX, until: StoreTime(until) };
        let mut row = Row { content: Some(content), version: 1 };
        let mut lease = lease("d1");
        let taken = (0..60_000).step_by(20).find(|&at| {
            drive(&mut lease, &mut row, ms(at));
            assert!(lease.vacant_until(Duration::MAX, ms(at)).is_none());
            lease.token(ms(at)).is_some()
        });
        assert!(taken.is_some_and(|at| at < 40_000), "until {until}: taken at {taken:?} ms");
    }
}

/// Guards against a wrap of the store's clock or version, by which a daemon would take a term that
/// ended for its own.
#[test]
fn clock_and_version_out_of_range_grant_no_lease() {
    let mut lease = lease("d1");
    let clock = ClockReading { time: StoreTime(u64::MAX), sent: ms(0), received: ms(10) };
    let row = LeaseRow { holder: "d2".into(), token: 7, until: StoreTime(1_000) };
    lease.record_read(Some(row), at(u64::MAX), clock);
    assert!(lease.token(ms(20)).is_none());
    let Step::Write(write) = lease.step(ms(20)) else { panic!("the term of the row ended") };
    lease.record_write(&write, at(u64::MAX), clock);
    assert!(lease.token(ms(30)).is_none(), "no time is before the end of this term");
}

#[test]
fn first_daemon_acquires_lease_immediately_and_renews_it() {
    let (mut row, mut first) = (Row::default(), lease("d1"));
    drive(&mut first, &mut row, ms(0));
    assert_eq!(first.token(ms(0)), Some(1));
    // The term lasts as long as the validity and two calls of 10 ms.
    assert_eq!(first.token(ms(819)), Some(1));
    assert_eq!(first.token(ms(820)), None);
    drive(&mut first, &mut row, ms(300));
    assert_eq!(first.token(ms(1_000)), Some(1));
}

#[test]
fn best_candidate_claims_missing_row_of_fleet_that_starts() {
    let mut row = Row::default();
    let start = |index: usize| {
        let mut lease = Lease::new(LeaseSettings::default(), &format!("d{index}"));
        lease.set_rank(index);
        lease
    };
    // The worst candidates start first, and the best one 300 ms later.
    let mut leases: Vec<(usize, Lease)> = (0..8).rev().map(|index| (index, start(index))).collect();
    let mut holders = Vec::new();
    for at in (0..4_000).step_by(20) {
        for (index, lease) in &mut leases {
            if at >= 300 - *index as u64 * 40 {
                drive(lease, &mut row, ms(at));
            }
            if lease.token(ms(at)).is_some() {
                holders.push((*index, at));
            }
        }
    }
    assert_eq!(holders.first(), Some(&(0, 1_800)));
    assert!(holders.iter().all(|(index, _)| *index == 0), "{holders:?}");
}

#[test]
fn next_candidate_claims_missing_row_if_the_best_one_is_slow() {
    let mut row = Row::default();
    let mut second = Lease::new(LeaseSettings::default(), "d1");
    second.set_rank(1);
    let taken = takeover_at(&mut second, &mut row, 0).expect("it acquires the lease");
    assert!((1_500..1_700).contains(&taken), "{taken} ms");
}

#[test]
fn successor_waits_for_handover_period_after_last_order() {
    let (mut row, mut first, mut second) = (Row::default(), lease("d1"), lease("d2"));
    drive(&mut first, &mut row, ms(0));
    let last = (0..2_000).filter(|at| first.token(ms(*at)).is_some()).max().unwrap_or(0);
    let taken = takeover_at(&mut second, &mut row, 0).expect("it takes over");
    assert!(taken >= last + 3_000, "{taken} ms, {last} ms");
    assert!(taken <= last + 3_300, "{taken} ms, {last} ms");
    assert_eq!(second.token(ms(taken)), Some(2));
    // The first daemon resumes and finds that it has lost the lease.
    drive(&mut first, &mut row, ms(taken));
    assert_eq!(first.token(ms(taken)), None);
}

#[test]
fn unannounced_renewal_delays_successor_by_at_most_one_term() {
    let (mut row, mut first, mut second) = (Row::default(), lease("d1"), lease("d2"));
    drive(&mut first, &mut row, ms(0));
    drive(&mut second, &mut row, ms(0));
    let content = row.content.clone().expect("it was written");
    second.record_announcement(content, row.position(), ms(0));
    // The holder renews once more and stops before it announces the renewal.
    drive(&mut first, &mut row, ms(300));
    let taken = takeover_at(&mut second, &mut row, 300).expect("it takes over");
    assert!(taken <= 300 + 800 + 3_300, "{taken} ms");
}

#[test]
fn restarted_holder_continues_immediately_with_higher_token() {
    let (mut row, mut before) = (Row::default(), lease("d1"));
    drive(&mut before, &mut row, ms(0));
    let mut after = lease("d1");
    drive(&mut after, &mut row, ms(100));
    assert_eq!(after.token(ms(100)), Some(2));
}

#[test]
fn holder_announcement_replaces_reading_the_row() {
    let (mut row, mut first, mut second) = (Row::default(), lease("d1"), lease("d2"));
    drive(&mut first, &mut row, ms(0));
    drive(&mut second, &mut row, ms(0));
    for at in (0..10_000).step_by(100) {
        drive(&mut first, &mut row, ms(at));
        let content = row.content.clone().expect("it was written");
        second.record_announcement(content, row.position(), ms(at));
        assert!(matches!(second.step(ms(at)), Step::Wait(_)), "at {at} ms");
    }
}

#[test]
fn renewal_without_response_is_verified_by_reading_the_row() {
    let (mut row, mut first) = (Row::default(), lease("d1"));
    drive(&mut first, &mut row, ms(0));
    let Step::Write(write) = first.step(ms(300)) else { panic!("a renewal is due") };
    // The write took effect, but its response was lost.
    row.version += 1;
    row.content = Some(write.row);
    first.record_timeout();
    assert_eq!(first.token(ms(700)), Some(1));
    drive(&mut first, &mut row, ms(600));
    assert_eq!(first.token(ms(1_000)), Some(1));
}

#[test]
fn slow_store_does_not_interrupt_holder() {
    let mut lease = lease("d1");
    // Each call takes 700 ms, and the store reads its clock halfway through.
    let slow = |sent: u64| ClockReading {
        time: StoreTime(500_000 + sent + 350),
        sent: ms(sent),
        received: ms(sent + 700),
    };
    lease.record_read(None, at(0), slow(0));
    let (mut now, mut version) = (700, 0);
    let mut gaps = 0;
    while now < 20_000 {
        match lease.step(ms(now)) {
            Step::Write(write) => {
                for at in now..now + 700 {
                    gaps += usize::from(now > 3_000 && lease.token(ms(at)).is_none());
                }
                version += 1;
                lease.record_write(&write, at(version), slow(now));
                now += 700;
            }
            Step::Wait(until) => {
                assert!(until > ms(now));
                now += 10;
            }
            Step::Read => panic!("no read is due"),
        }
    }
    assert_eq!(gaps, 0, "ms without a valid lease");
}

#[test]
fn released_lease_can_be_claimed_after_handover_period() {
    let (mut row, mut first, mut second) = (Row::default(), lease("d1"), lease("d2"));
    drive(&mut first, &mut row, ms(0));
    let write = first.release(ms(100)).expect("it holds the lease");
    assert_eq!(first.token(ms(100)), None);
    row.version += 1;
    row.content = Some(write.row);
    let taken = takeover_at(&mut second, &mut row, 100).expect("it takes over");
    assert!((3_100..=3_400).contains(&taken), "{taken} ms");
}

#[test]
fn vacancy_is_known_from_the_last_announcement() {
    let (mut row, mut first, mut second) = (Row::default(), lease("d1"), lease("d2"));
    drive(&mut first, &mut row, ms(0));
    drive(&mut second, &mut row, ms(0));
    let lag = Duration::from_millis(400);
    // The term ends at 820 ms. The store's clock was read 10 ms after the start at the latest.
    assert_eq!(second.vacant_until(lag, ms(1_200)), None, "a renewal may be on its way");
    let claimable = ms(3_830);
    assert_eq!(second.vacant_until(lag, ms(1_240)), Some(claimable));
    assert_eq!(second.vacant_until(lag, ms(3_900)), None, "another daemon may hold the lease");
    let announce = |second: &mut Lease, row: &Row| {
        let content = row.content.clone().expect("it was written");
        second.record_announcement(content, at(row.version + 1), ms(1_240));
    };
    announce(&mut second, &row);
    drive(&mut first, &mut row, ms(300));
    announce(&mut second, &row);
    assert_eq!(second.vacant_until(lag, ms(1_240)), None);
    assert_eq!(first.vacant_until(lag, ms(5_000)), None, "it holds the lease as far as it knows");
}

proptest! {
    // Daemons pause and resume at any time. Two daemons never hold the lease at the same time, and
    // the handover period separates the terms of two holders.
    #[test]
    fn handover_period_separates_orders_of_two_holders(
        awake in prop::collection::vec(prop::array::uniform3(any::<bool>()), 200),
    ) {
        let mut row = Row::default();
        let mut leases = [lease("d0"), lease("d1"), lease("d2")];
        let mut last: Option<(usize, Tick, u64)> = None;
        for (step, awake) in awake.iter().enumerate() {
            // Each state lasts long enough for the lease to change hands occasionally.
            let now = ms(step as u64 * 150);
            let awake = awake.map(|awake| awake || step % 60 < 20);
            for (index, lease) in leases.iter_mut().enumerate() {
                if !awake[index] {
                    continue;
                }
                drive(lease, &mut row, now);
                let Some(token) = lease.token(now) else { continue };
                if let Some((holder, at, before)) = last {
                    prop_assert!(token >= before);
                    if holder != index {
                        prop_assert!(now.since(at) >= Duration::from_secs(3));
                        prop_assert!(token > before);
                    }
                }
                last = Some((index, now, token));
            }
        }
    }
}
