//! Tests that permits enforce the number in flight and the start rate, also after a holder expires
//! or the home moves.

use std::time::Duration;

use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::pools::AcquireOutcome;
use corianderyoke_coord::pools::PermitKey;
use corianderyoke_coord::pools::PermitSettings;
use corianderyoke_coord::pools::Permits;
use corianderyoke_coord::time::Tick;

fn key(holder: u32, number: u64) -> PermitKey {
    PermitKey { holder: MemberKey(holder), number }
}

fn at_second(seconds: u64) -> Tick {
    Tick(seconds * 1_000_000)
}

#[test]
fn starts_respect_the_rate_and_repeated_acquires_are_idempotent() {
    let settings =
        PermitSettings { start_rate: Some(2000), max_in_flight: 100, ..Default::default() };
    let mut permits = Permits::new(settings, at_second(0));
    let mut granted = 0;
    for step in 0..1000 {
        let now = Tick(step * 10_000);
        if permits.acquire(key(1, granted), now) == AcquireOutcome::Granted {
            assert_eq!(permits.acquire(key(1, granted), now), AcquireOutcome::Granted);
            granted += 1;
        }
    }
    // 10 s at 2 starts per second, starting without credit.
    assert_eq!(granted, 19);
    assert_eq!(permits.in_use(), 19);
}

#[test]
fn permits_of_an_expired_holder_count_until_the_reclaim_delay_ends() {
    let reclaim_delay = Duration::from_secs(60);
    let settings = PermitSettings { max_in_flight: 2, reclaim_delay, ..Default::default() };
    let mut permits = Permits::new(settings, at_second(0));
    assert_eq!(permits.acquire(key(1, 1), at_second(0)), AcquireOutcome::Granted);
    permits.adopt(key(2, 1));
    assert!(matches!(permits.acquire(key(3, 1), at_second(1)), AcquireOutcome::Wait(_)));
    permits.expire_holder(MemberKey(1), at_second(2));
    assert!(matches!(permits.acquire(key(3, 1), at_second(61)), AcquireOutcome::Wait(_)));
    assert_eq!(permits.acquire(key(3, 1), at_second(62)), AcquireOutcome::Granted);
    permits.release(key(2, 1));
    permits.release(key(2, 1));
    assert_eq!(permits.in_use(), 1);
}
