//! Tests of the refusal of requests that can't be served because a load takes too long.

use std::time::Duration;

use corianderyoke_coord::serving::shortage::Outlook;

use crate::fixtures::ms;

const LEAST: Duration = Duration::from_millis(300);

fn retry_ms(outlook: Outlook, deadline: u64, now: u64) -> Option<u128> {
    outlook.retry_after(ms(deadline), ms(now)).map(|wait| wait.as_millis())
}

#[test]
fn request_waits_while_a_load_may_still_start_and_end_in_time() {
    let unknown = Outlook { least: LEAST, ..Outlook::default() };
    assert_eq!(retry_ms(unknown, 2_000, 0), None);
    assert_eq!(retry_ms(unknown, 2_000, 1_700), None);
    // Even the fastest load would end too late.
    assert_eq!(retry_ms(unknown, 2_000, 1_800), Some(400));
}

/// A model that many callers ask for is being read from the weight store for several seconds.
#[test]
fn request_is_refused_at_once_if_the_load_in_progress_ends_too_late() {
    let slow = Outlook { ready: Some(ms(5_000)), least: LEAST, ..Outlook::default() };
    assert_eq!(retry_ms(slow, 2_000, 0), Some(5_100));
    assert_eq!(retry_ms(slow, 6_000, 0), None);
    // The load is overdue, and may end at any moment.
    assert_eq!(retry_ms(slow, 5_500, 5_400), None);
}

/// The lease on orders changes hands, so nothing is loaded for some seconds.
#[test]
fn request_is_refused_at_once_if_nobody_orders_loads_in_time() {
    let vacant = Outlook { orders_from: Some(ms(3_000)), least: LEAST, ..Outlook::default() };
    assert_eq!(retry_ms(vacant, 2_000, 0), Some(3_400));
    assert_eq!(retry_ms(vacant, 4_000, 0), None);
    // A load that was ordered before goes on.
    let loading = Outlook { ready: Some(ms(500)), ..vacant };
    assert_eq!(retry_ms(loading, 2_000, 0), None);
}
