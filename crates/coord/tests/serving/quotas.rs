//! Tests of the division of fleet-wide limits.

use corianderyoke_coord::serving::quotas::daemon_quota;
use corianderyoke_coord::serving::quotas::rank;
use corianderyoke_coord::serving::quotas::ColdQuota;
use corianderyoke_coord::serving::quotas::RetryAllowance;
use proptest::prelude::*;

use crate::fixtures::ms;

#[test]
fn retry_budget_is_divided_among_daemons() {
    let allowance = RetryAllowance { ratio: 0.2, extra: 50.0 };
    let mut budget = allowance.budget(7, true);
    let saved = (0..).take_while(|_| budget.take()).count();
    assert_eq!(saved, 6);
    for _ in 0..100 {
        budget.admit();
    }
    assert_eq!((0..).take_while(|_| budget.take()).count(), 6);
}

#[test]
fn restarted_daemon_starts_with_empty_retry_budget() {
    let allowance = RetryAllowance { ratio: 0.2, extra: 50.0 };
    let mut budget = allowance.budget(7, false);
    assert!(!budget.take());
    // Each request earns 0.18 retries, in addition to what the earlier process may have used.
    for _ in 0..6 {
        budget.admit();
    }
    assert!(budget.take());
    assert!(!budget.take());
}

#[test]
fn cold_quota_applies_to_every_one_second_window() {
    let mut quota = ColdQuota::default();
    assert!(quota.try_acquire(14.0, 7, 6, ms(0)));
    assert!(!quota.try_acquire(14.0, 7, 6, ms(999)));
    assert!(quota.try_acquire(14.0, 7, 6, ms(1_000)));
}

#[test]
fn ranks_are_unique() {
    let names = ["d1", "d2", "d3", "d4"];
    let mut ranks = names.map(|name| rank("engine", name, names.into_iter()));
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
}

proptest! {
    #[test]
    fn quotas_of_all_daemons_stay_within_limit(limit in 0.0..200.0_f64, size in 1..100_usize) {
        let sum: usize = (0..size).map(|rank| daemon_quota(limit, size, rank)).sum();
        prop_assert!(sum as f64 <= limit);
    }
}
