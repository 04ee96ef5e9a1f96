//! Scheduled actions of a failure run.

use std::time::Duration;

use serde_json::Value;

/// An action on the fleet or its configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kill a daemon.
    Kill(String),
    /// Start a killed daemon.
    Start(String),
    /// Suspend a daemon's process.
    Pause(String),
    /// Resume a suspended daemon.
    Resume(String),
    /// Close all connections through a relay, and new ones as they arrive.
    Cut(String),
    /// Let a relay forward new connections again.
    Mend(String),
    /// Stop forwarding on a relay's open connections for good, without closing them; new connections
    /// work.
    Silence(String),
    /// Inject a fault into a stand-in.
    Fault {
        /// Name of the stand-in.
        name: String,
        /// The fault, in the JSON format of the stand-in's `/faults`.
        fault: Value,
    },
    /// Put an engine back into its warm-up without notice.
    TurnCold(String),
    /// Make an engine crash during its next model load, and restart it soon after.
    DieInLoad(String),
    /// Kill an upstream's stand-in and start it again.
    RestartStandin(String),
    /// Set a team's limits.
    Rate {
        /// Name of the team.
        team: String,
        /// Tokens per second.
        rate: u64,
        /// Bucket size in tokens.
        burst: u64,
    },
    /// Issue a new key for a team, and revoke the old one once callers use the new one.
    Revoke {
        /// Name of the team.
        team: String,
    },
    /// Drain a zone.
    Drain(String),
    /// Restore a drained zone.
    Restore(String),
    /// Mark an upstream as leaving in the instance list.
    Leave(String),
    /// Mark an upstream as live in the instance list.
    Join(String),
    /// Shut down and restart all daemons, one after the other.
    ReplaceEach,
    /// Shut down and restart all daemons at once.
    ReplaceAll,
}

/// An action at a time of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the load.
    pub at: Duration,
    /// The action to execute.
    pub action: Action,
}
