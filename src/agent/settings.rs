//! Settings of an agent.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_coord::membership;
use corianderyoke_coord::membership::Role;
use corianderyoke_history::Recorder;

/// Settings of an agent, derived from those of its daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance name.
    pub name: String,
    /// Role of the daemon in the cell.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// UDP address for peers; port 0 takes a free one.
    pub peers: SocketAddr,
    /// Name of the cell, which is the key of its view row.
    pub cell: String,
    /// Timing of the membership.
    pub membership: membership::Settings,
    /// Recorder of the events of the run.
    pub history: Recorder,
    /// Time between two polls of the head of the configuration.
    pub poll_interval: Duration,
}

/// Number of renewals, and of scans, per lease duration.
const ROUNDS_PER_LEASE: u32 = 3;

/// Timing of a membership whose members may act for `lease_duration` after a renewal.
pub fn membership_timing(lease_duration: Duration) -> membership::Settings {
    let interval = lease_duration / ROUNDS_PER_LEASE;
    membership::Settings {
        lease_duration,
        renew_interval: interval,
        scan_interval: interval,
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
            cell: "cell-1".to_owned(),
            membership: membership::Settings::default(),
            history: Recorder::off(),
            poll_interval: Duration::from_secs(1),
        }
    }
}
