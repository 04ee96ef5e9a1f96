//! Permits: number in flight and start rate hold through lost holders and changes of home.

use std::time::Duration;

use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::pools::Permission;
use corianderyoke_coord::pools::PermitKey;
use corianderyoke_coord::pools::PermitSettings;
use corianderyoke_coord::pools::Permits;
use corianderyoke_coord::time::Tick;

fn key(holder: u32, number: u64) -> PermitKey {
    PermitKey { holder: MemberKey(holder), number }
}

fn second(seconds: u64) -> Tick {
    Tick(seconds * 1_000_000)
}

#[test]
fn starts_keep_to_the_rate_and_repeats_are_free() {
    let settings = PermitSettings { rate: Some(2000), in_flight: 100, ..Default::default() };
    let mut permits = Permits::new(settings, second(0));
    let mut granted = 0;
    for step in 0..1000 {
        let now = Tick(step * 10_000);
        if permits.acquire(key(1, granted), now) == Permission::Granted {
            assert_eq!(permits.acquire(key(1, granted), now), Permission::Granted);
            granted += 1;
        }
    }
    // 10 s at 2 a second, from zero credit.
    assert_eq!(granted, 19);
    assert_eq!(permits.in_use(), 19);
}

#[test]
fn permits_of_a_lost_holder_stay_counted_until_their_operation_must_be_over() {
    let linger = Duration::from_secs(60);
    let settings = PermitSettings { in_flight: 2, linger, ..Default::default() };
    let mut permits = Permits::new(settings, second(0));
    assert_eq!(permits.acquire(key(1, 1), second(0)), Permission::Granted);
    permits.adopt(key(2, 1));
    assert!(matches!(permits.acquire(key(3, 1), second(1)), Permission::Wait(_)));
    permits.lapse(MemberKey(1), second(2));
    assert!(matches!(permits.acquire(key(3, 1), second(61)), Permission::Wait(_)));
    assert_eq!(permits.acquire(key(3, 1), second(62)), Permission::Granted);
    permits.release(key(2, 1));
    permits.release(key(2, 1));
    assert_eq!(permits.in_use(), 1);
}
