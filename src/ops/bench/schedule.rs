//! What the harness does to a fleet, and when.

use std::time::Duration;

use serde_json::Value;

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kill a daemon.
    Kill(String),
    /// Start a daemon that was killed.
    Start(String),
    /// Freeze a daemon.
    Pause(String),
    /// Let a frozen daemon go on.
    Resume(String),
    /// Cut the connections through a relay, new ones too.
    Cut(String),
    /// Let a relay pass connections again.
    Mend(String),
    /// Have the open connections of a relay go silent for good; new ones work.
    Silence(String),
    /// Order a fault of a stand-in.
    Fault {
        /// The stand-in.
        name: String,
        /// The fault, as the stand-in takes it.
        fault: Value,
    },
    /// Have an engine turn cold.
    TurnCold(String),
    /// Have an engine die in its next load, and start it again soon after.
    DieInLoad(String),
    /// Kill a stand-in of an upstream and start it again.
    RestartStandin(String),
    /// Set a team's limits.
    Rate {
        /// Team.
        team: String,
        /// Tokens a second.
        rate: u64,
        /// Tokens at once.
        burst: u64,
    },
    /// Issue a new key for a team, and withdraw the one in use once callers have the new one.
    Revoke {
        /// Team.
        team: String,
    },
    /// Take a zone out.
    Drain(String),
    /// Bring a zone back.
    Restore(String),
    /// List an upstream's instance as leaving.
    Leave(String),
    /// List it as live.
    Join(String),
    /// Replace all daemons, one after the other.
    ReplaceEach,
    /// Replace all daemons at once.
    ReplaceAll,
}

/// An action with its time since the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}
