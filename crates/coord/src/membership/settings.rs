//! Membership settings, which must be the same on all members of a cell.

use std::time::Duration;

/// One whole in units of [`Settings::clock_drift`].
const PER_MILLE: u32 = 1000;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Lease that one renewal, or promises from a majority, grants to a member.
    pub lease_duration: Duration,
    /// Interval between renewals of a member's row.
    pub renew_interval: Duration,
    /// Interval between scans of the member rows and the view row.
    pub scan_interval: Duration,
    /// Interval between pings to each peer.
    pub ping_interval: Duration,
    /// Interval between requests for promises during an outage, and between requests for consents
    /// during a removal.
    pub request_interval: Duration,
    /// Time without an answer after which the store counts as unreachable.
    pub store_timeout: Duration,
    /// Longest time for which promises may replace renewals.
    pub outage_limit: Duration,
    /// Largest drift of any member's clock, in parts per thousand.
    pub clock_drift: u32,
    /// Added to the expiry of another member's lease, to cover scheduling delays between that
    /// member's lease check and the action that follows it.
    pub slack: Duration,
    /// Longest delay until the platform's instance list reflects a change.
    pub list_lag: Duration,
    /// Time that a new home waits for a member's inventory before it accepts an acknowledgement by
    /// that member's row alone.
    pub inventory_timeout: Duration,
    /// Time after which a member leaves the view when a majority of the live members is silent.
    pub isolation_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease_duration: Duration::from_secs(3),
            renew_interval: Duration::from_secs(1),
            scan_interval: Duration::from_secs(1),
            ping_interval: Duration::from_millis(500),
            request_interval: Duration::from_millis(500),
            store_timeout: Duration::from_millis(1500),
            outage_limit: Duration::from_secs(600),
            clock_drift: 10,
            slack: Duration::from_millis(200),
            list_lag: Duration::from_secs(10),
            inventory_timeout: Duration::from_secs(3),
            isolation_timeout: Duration::from_secs(5),
        }
    }
}

impl Settings {
    /// Time that another process must wait on its own clock until a lease has certainly expired:
    /// the lease duration, scaled for clocks that drift in opposite directions, plus the slack.
    pub fn expiry_wait(&self) -> Duration {
        let fast = PER_MILLE + self.clock_drift;
        let slow = PER_MILLE - self.clock_drift;
        self.lease_duration * fast / slow + self.slack
    }
}
