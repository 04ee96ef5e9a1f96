//! Settings of membership; all members of a cell must agree on them.

use std::time::Duration;

/// Parts in a thousand.
const PER_MILLE: u32 = 1000;

/// Spans and limits.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long one renewal or one set of promises lets a member act.
    pub term: Duration,
    /// How often a member renews its row.
    pub renew_every: Duration,
    /// How often a member reads the rows and the view.
    pub scan_every: Duration,
    /// How often a member pings each peer.
    pub ping_every: Duration,
    /// How often a member whose renewals go unanswered asks for promises.
    pub ask_every: Duration,
    /// Without an answer for this long the store counts as out of reach.
    pub store_silence: Duration,
    /// How long promises may stand in for renewals.
    pub outage_limit: Duration,
    /// Most that a clock drifts, in parts per thousand.
    pub clock_drift: u32,
    /// Added to a watched term for scheduling between a check and an act.
    pub slack: Duration,
    /// How far the platform's instance list lags.
    pub list_lag: Duration,
    /// How long a new home waits for a member's inventory once its row alone acknowledges.
    pub inventory_wait: Duration,
    /// A member that hears from no half of its view for this long leaves it.
    pub isolation_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            term: Duration::from_secs(3),
            renew_every: Duration::from_secs(1),
            scan_every: Duration::from_secs(1),
            ping_every: Duration::from_millis(500),
            ask_every: Duration::from_millis(500),
            store_silence: Duration::from_millis(1500),
            outage_limit: Duration::from_secs(600),
            clock_drift: 10,
            slack: Duration::from_millis(200),
            list_lag: Duration::from_secs(10),
            inventory_wait: Duration::from_secs(3),
            isolation_limit: Duration::from_secs(5),
        }
    }
}

impl Settings {
    /// How long another process must wait on its own clock to be sure that a term has lapsed: the
    /// term, stretched by both clocks drifting apart, and the slack.
    pub fn lapse(&self) -> Duration {
        let fast = PER_MILLE + self.clock_drift;
        let slow = PER_MILLE - self.clock_drift;
        self.term * fast / slow + self.slack
    }
}
