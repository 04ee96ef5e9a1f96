//! Settings of membership; all members of a cell must agree on them.

use std::time::Duration;

/// Parts in a thousand.
const PER_MILLE: u32 = 1000;

/// Spans and limits.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long one renewal or one set of promises lets a member act.
    pub lease_duration: Duration,
    /// How often a member renews its row.
    pub renew_interval: Duration,
    /// How often a member reads the rows and the view.
    pub scan_interval: Duration,
    /// How often a member pings each peer.
    pub ping_interval: Duration,
    /// How often a member whose renewals go unanswered asks for promises.
    pub request_interval: Duration,
    /// Without an answer for this long the store counts as out of reach.
    pub store_timeout: Duration,
    /// How long promises may stand in for renewals.
    pub outage_limit: Duration,
    /// Most that a clock drifts, in parts per thousand.
    pub clock_drift: u32,
    /// Added to a watched term for scheduling between a check and an act.
    pub slack: Duration,
    /// How far the platform's instance list lags.
    pub list_lag: Duration,
    /// How long a new home waits for a member's inventory once its row alone acknowledges.
    pub inventory_timeout: Duration,
    /// A member that hears from no half of its view for this long leaves it.
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
    /// How long another process must wait on its own clock to be sure that a term has lapsed: the
    /// term, stretched by both clocks drifting apart, and the slack.
    pub fn expiry_wait(&self) -> Duration {
        let fast = PER_MILLE + self.clock_drift;
        let slow = PER_MILLE - self.clock_drift;
        self.lease_duration * fast / slow + self.slack
    }
}
