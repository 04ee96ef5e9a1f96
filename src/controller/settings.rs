//! Settings of a controller.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use corianderyoke_coord::register::Problem;
use serde::Deserialize;
use serde::Serialize;

use crate::util::start::daemon_problems;

/// Settings of a controller, as in its settings file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Instance name, unique among the instances.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Cell that the instance belongs to; the members of a cell share one view.
    pub cell: String,
    /// Lease duration: how long a member may act after a renewal, in milliseconds; must be the same
    /// in the whole cell.
    pub term_ms: u64,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// UDP address for the other members.
    pub peers: SocketAddr,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log: String,
    /// File to which events of the run are appended; empty for none.
    pub history: String,
}

impl Settings {
    /// Checks the values and returns all problems.
    pub fn check(&self) -> Vec<Problem> {
        daemon_problems(&self.name, &self.log, &self.cell, self.term_ms)
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "controller-1".to_owned(),
            zone: String::new(),
            cell: "cell-1".to_owned(),
            term_ms: 3_000,
            platform: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            operators: any,
            peers: any,
            log: "info".to_owned(),
            history: String::new(),
        }
    }
}
