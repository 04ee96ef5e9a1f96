//! What an agent has to know of its process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_coord::membership;
use corianderyoke_coord::membership::Role;
use corianderyoke_history::Recorder;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance name.
    pub name: String,
    /// What the daemon does.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// UDP address for peers; port 0 takes a free one.
    pub peers: SocketAddr,
    /// Where callers are answered, `ip:port`; empty for none.
    pub callers: String,
    /// Where operators are answered, `ip:port`.
    pub operators: String,
    /// Name of the cell, under which its view row stands.
    pub cell: String,
    /// Spans of the membership.
    pub membership: membership::Settings,
    /// Where events of the run are recorded.
    pub history: Recorder,
    /// Time between two looks at the head of the configuration.
    pub poll_every: Duration,
}

/// Renewals and scans in one term.
const ROUNDS_A_TERM: u32 = 3;

/// Spans of a membership whose members act for `term` after a renewal.
pub fn membership(term: Duration) -> membership::Settings {
    let round = term / ROUNDS_A_TERM;
    membership::Settings {
        lease_duration: term,
        renew_interval: round,
        scan_interval: round,
        ..membership::Settings::default()
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            name: String::new(),
            role: Role::Router,
            zone: String::new(),
            peers: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            callers: String::new(),
            operators: String::new(),
            cell: "cell-1".to_owned(),
            membership: membership::Settings::default(),
            history: Recorder::off(),
            poll_every: Duration::from_secs(1),
        }
    }
}
