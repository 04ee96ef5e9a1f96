//! Tests of the limits that engines name on the requests of all daemons together.

use std::time::Duration;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::engine_limits::EngineLimits;
use corianderyoke_coord::serving::engine_limits::Share;
use corianderyoke_coord::serving::engine_limits::Statement;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::ms;

const ENGINE: UpstreamKey = UpstreamKey(1);

fn limited(limit: f64) -> EngineLimits {
    let mut limits = EngineLimits::default();
    assert!(limits.record_response(ENGINE, Some(limit), ms(0)));
    limits
}

#[test]
fn numbers_of_other_daemons_that_are_no_rate_name_no_limit() {
    let (mut limits, mut at) = (EngineLimits::default(), 0);
    for limit in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0] {
        at += 1_000;
        assert!(!limits.apply(ENGINE, Statement { limit: Some(limit), at: ms(at) }));
        assert!(!limits.is_limited(ENGINE), "{limit}");
    }
    for limit in [0.0, 1e-300, 1e300, f64::MAX] {
        at += 1_000;
        assert!(limits.apply(ENGINE, Statement { limit: Some(limit), at: ms(at) }), "{limit}");
        for others in [None, Some(0), Some(u32::MAX as usize)] {
            for (size, rank) in [(1, 0), (2, 1), (510, 509)] {
                let share = Share { size, rank, others };
                let wait = limits.try_acquire(ENGINE, share, ms(at)).err().unwrap_or_default();
                assert!(wait == Duration::MAX || wait <= Duration::from_secs(10), "{wait:?}");
            }
        }
    }
}

/// Guards against fleets whose daemons each keep to the limit of an engine alone. Each daemon has
/// more requests than it may send, for 20 s.
#[test]
fn daemons_of_fleets_of_any_size_together_keep_to_the_limit() {
    for (size, limit) in [
        (8, 0.05),
        (8, 1.0),
        (8, 1.2),
        (8, 30.0),
        (80, 1.0),
        (80, 50.0),
        (195, 1.0),
        (195, 90.0),
        (510, 0.5),
        (510, 300.0),
    ] {
        let mut rng = ChaCha8Rng::seed_from_u64(size as u64);
        let mut fleet: Vec<EngineLimits> = (0..size).map(|_| limited(limit)).collect();
        let mut order: Vec<usize> = (0..size).collect();
        let mut sent = Vec::new();
        for now in (0..20_000).step_by(100) {
            order.shuffle(&mut rng);
            for &rank in &order {
                // A daemon that has just joined isn't known to a few others yet.
                let known = size - usize::from(rng.random_bool(0.1));
                let share = Share { size: known, rank, others: None };
                if fleet[rank].try_acquire(ENGINE, share, ms(now)).is_ok() {
                    sent.push(now);
                }
            }
        }
        let in_window =
            |&from: &u64| sent.iter().filter(|at| (from..from + 4_000).contains(at)).count();
        let most = sent.iter().map(in_window).max().unwrap_or(0);
        let allowed = 4.0 * limit * 1.5 + 5.0;
        assert!(most as f64 <= allowed, "{size} daemons: {most} of {limit} a second");
        let least = if limit < 0.1 { 1.0 } else { 20.0 * limit * 0.6 };
        assert!(sent.len() as f64 >= least, "{size} daemons: {} of {limit} a second", sent.len());
    }
}

/// Guards against an engine that gets less than it takes because the daemons with a part of its
/// limit have no requests, and against daemons that use the same rest of the limit. Reports take
/// 200 ms, and a third of them is lost.
#[test]
fn daemons_that_hear_each_other_use_what_others_leave() {
    for limit in [1.0, 2.5, 20.0] {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut fleet: Vec<EngineLimits> = (0..8).map(|_| limited(limit)).collect();
        let mut heard = vec![vec![0; 8]; 8];
        let (mut sent, mut step) = (Vec::new(), 0);
        for now in (0..40_000).step_by(10) {
            if now % 200 == 0 {
                for (to, from) in (0..64).map(|pair| (pair / 8, pair % 8)) {
                    if rng.random_bool(0.67) {
                        heard[to][from] = fleet[from].sent_count(ENGINE, ms(now));
                    }
                }
            }
            // Two daemons at a time have requests, far more than the engine takes.
            step += usize::from(now % 2_000 == 0);
            for rank in [step % 8, (step + 3) % 8] {
                let others =
                    (0..8).filter(|from| *from != rank).map(|from| heard[rank][from]).sum();
                let share = Share { size: 8, rank, others: Some(others) };
                if fleet[rank].try_acquire(ENGINE, share, ms(now)).is_ok() {
                    sent.push(now);
                }
            }
        }
        let in_window =
            |&from: &u64| sent.iter().filter(|at| (from..from + 4_000).contains(at)).count();
        let most = sent.iter().map(in_window).max().unwrap_or(0);
        assert!(most as f64 <= 4.0 * limit * 1.5 + 5.0, "{most} of {limit} a second");
        assert!(sent.len() as f64 >= 40.0 * limit * 0.6, "{} of {limit} a second", sent.len());
    }
}

#[test]
fn refusal_says_when_the_next_request_may_be_sent() {
    let mut limits = limited(1.0);
    // The window of 4 s has 7 requests.
    let first = Share { size: 7, rank: 0, others: None };
    let last = Share { size: 8, rank: 7, others: None };
    assert_eq!(limits.try_acquire(ENGINE, first, ms(0)), Ok(true));
    assert_eq!(limits.try_acquire(ENGINE, first, ms(1_000)), Err(Duration::from_secs(3)));
    assert_eq!(limits.try_acquire(ENGINE, first, ms(4_000)), Ok(true));
    assert_eq!(limits.try_acquire(ENGINE, last, ms(4_000)), Err(Duration::MAX));
    assert_eq!(limits.try_acquire(UpstreamKey(2), last, ms(4_000)), Ok(false));
    let exhausted = Share { others: Some(7), ..first };
    let soon = Duration::from_secs(4) / 7;
    assert_eq!(limits.try_acquire(ENGINE, exhausted, ms(9_000)), Err(soon));
}

#[test]
fn limit_ends_with_a_response_that_names_none() {
    let mut limits = limited(0.0);
    let share = Share { size: 2, rank: 0, others: None };
    assert_eq!(limits.try_acquire(ENGINE, share, ms(0)), Ok(true), "its end must be noticed");
    assert!(limits.try_acquire(ENGINE, share, ms(9_000)).is_err());
    assert!(limits.record_response(ENGINE, None, ms(9_100)));
    assert_eq!(limits.try_acquire(ENGINE, share, ms(9_100)), Ok(false));
    assert!(!limits.record_response(UpstreamKey(2), None, ms(9_100)), "it never named one");
}

/// Guards against reports that are lost, late or reordered between daemons.
#[test]
fn latest_response_counts_whatever_the_order_of_reports() {
    let responses = [(0, Some(1.0)), (1_000, Some(2.0)), (2_000, None), (3_000, Some(4.0))];
    let statement = |(at, limit)| Statement { limit, at: ms(at) };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let mut limits = EngineLimits::default();
        let mut reports = responses.to_vec();
        reports.shuffle(&mut rng);
        reports.retain(|report| report.0 == 3_000 || rng.random_bool(0.7));
        for report in reports {
            limits.apply(ENGINE, statement(report));
        }
        let known: Vec<Statement> = limits.statements().map(|(_, known)| known).collect();
        assert_eq!(known, [statement(responses[3])]);
    }
    // An echo whose age lost some milliseconds on its way is no newer response.
    let mut limits = limited(1.0);
    assert!(!limits.apply(ENGINE, Statement { limit: Some(1.0), at: ms(60) }));
    assert!(limits.statements().all(|(_, known)| known.at == ms(0)));
}

#[test]
fn engines_that_restart_and_old_limits_are_forgotten() {
    let mut limits = limited(1.0);
    limits.forget_engine(ENGINE);
    assert_eq!(limits.statements().count(), 0);
    for number in 0..100 {
        limits.record_response(UpstreamKey(number), Some(1.0), ms(0));
    }
    limits.record_response(UpstreamKey(0), None, ms(0));
    limits.prune(ms(10_000));
    assert_eq!(limits.statements().count(), 99);
    limits.prune(ms(60_000));
    assert_eq!(limits.statements().count(), 0);
}
