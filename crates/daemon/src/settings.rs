//! Settings of a daemon.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_coord::register::Problem;
use log::LevelFilter;
use serde::Deserialize;
use serde::Serialize;

/// Settings of a daemon, as its settings file has them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Instance name, unique among the instances.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// How much the instance can do, as a weight among the fleet's; the largest relay for others.
    pub capacity: u32,
    /// Whether the whole system starts for the first time, so that nothing ran before.
    pub first_start: bool,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the platform asks whether the daemon is ready.
    pub ready: SocketAddr,
    /// Address at which callers ask for addresses.
    pub directory: SocketAddr,
    /// UDP address for the other daemons.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Time between the signal to stop and the end of the process by force, in milliseconds.
    pub stop_ms: u64,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log: String,
    /// Figures that the operators agreed on with the platform.
    pub bounds: Bounds,
}

/// Figures that hold for the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time between orders of two holders of the lease, in milliseconds.
    pub handover_ms: u64,
    /// Time within which a leaving engine must get nothing new, in milliseconds.
    pub drain_ms: u64,
    /// Retries for each first try.
    pub retry_ratio: f64,
    /// Retries on top, over the whole fleet.
    pub retry_extra: f64,
    /// Part of a team's rate and burst by which it may exceed them.
    pub cap_overage: f64,
    /// Tokens by which a team may exceed its cap beyond that.
    pub cap_slack: f64,
    /// Factor on a cold engine's rate that it bears.
    pub cold_factor: f64,
    /// Requests a second on top that a cold engine bears.
    pub cold_extra: f64,
    /// Longest time for which callers may keep a directory answer, in seconds.
    pub keep_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "daemon-1".to_owned(),
            zone: String::new(),
            capacity: 1,
            first_start: false,
            platform: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            callers: any,
            ready: any,
            directory: any,
            peers: any,
            metrics: any,
            stop_ms: 8_000,
            log: "info".to_owned(),
            bounds: Bounds::default(),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            handover_ms: 3_000,
            drain_ms: 2_000,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            cap_overage: 0.0,
            cap_slack: 0.0,
            cold_factor: 1.0,
            cold_extra: 0.0,
            keep_s: 2.0,
        }
    }
}

impl Bounds {
    /// Time within which a leaving engine must get nothing new.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Settings {
    /// What is wrong with the values.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if self.name.is_empty() {
            problems.push(Problem::new("name", "", "the instance's name"));
        }
        if self.log.parse::<LevelFilter>().is_err() {
            let allowed = "off, error, warn, info, debug or trace";
            problems.push(Problem::new("log", &self.log, allowed));
        }
        if self.stop_ms < 1_000 {
            problems.push(Problem::new("stop_ms", self.stop_ms, "1000 or more"));
        }
        if !(self.bounds.keep_s > 0.0 && self.bounds.keep_s.is_finite()) {
            problems.push(Problem::new("bounds.keep_s", self.bounds.keep_s, "more than 0"));
        }
        problems
    }

    /// Time between the signal to stop and the end of the process by force.
    pub fn stop(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}
