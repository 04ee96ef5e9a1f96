//! Settings of the daemon and their validation.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_coord::register::Problem;
use corianderyoke_coord::time;
use corianderyoke_coord::time::MAX_DURATION;
use log::LevelFilter;
use serde::Deserialize;
use serde::Serialize;

/// Contents of the settings file of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Instance name, unique among the instances.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Relative capacity of the instance within the fleet. The daemons with the largest values
    /// become relays.
    pub capacity: u32,
    /// Whether the whole system starts for the first time. If so, no earlier process used up rate
    /// limits or retry budgets, and they start full.
    pub first_start: bool,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    /// Address of the directory, which lists the daemons that callers may use.
    pub directory: SocketAddr,
    /// UDP address for reports of other daemons.
    pub peers: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Time between the signal to stop and the forced end of the process, in milliseconds.
    pub stop_ms: u64,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log: String,
    /// Limits agreed on between the operator and the platform.
    pub bounds: Bounds,
}

/// Limits that apply to the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Least time between the orders of two successive lease holders, in milliseconds.
    pub handover_ms: u64,
    /// Time after which a draining engine must not receive new requests, in milliseconds.
    pub drain_ms: u64,
    /// Retries per first attempt.
    pub retry_ratio: f64,
    /// Additional retries of the whole fleet.
    pub retry_extra: f64,
    /// Fraction of a team's rate and burst by which the fleet may exceed them.
    pub cap_overage: f64,
    /// Additional tokens by which the fleet may exceed a team's limit.
    pub cap_slack: f64,
    /// Factor on the configured rate limit of a cold engine.
    pub cold_factor: f64,
    /// Requests per second in addition to that rate limit.
    pub cold_extra: f64,
    /// Longest time for which callers may cache a response of the directory, in seconds.
    #[serde(rename = "keep_s")]
    pub max_cache_s: f64,
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
            max_cache_s: 2.0,
        }
    }
}

impl Bounds {
    /// Returns the numbers that are out of range.
    fn problems(&self) -> Vec<Problem> {
        let amounts = [
            ("bounds.retry_ratio", self.retry_ratio),
            ("bounds.retry_extra", self.retry_extra),
            ("bounds.cap_overage", self.cap_overage),
            ("bounds.cap_slack", self.cap_slack),
            ("bounds.cold_factor", self.cold_factor),
            ("bounds.cold_extra", self.cold_extra),
        ];
        let is_amount = |value: f64| value >= 0.0 && value.is_finite();
        let odd = amounts.into_iter().filter(|(_, value)| !is_amount(*value));
        let mut problems: Vec<Problem> =
            odd.map(|(key, value)| Problem::new(key, value, "0 or more")).collect();
        if self.max_cache().is_none_or(|duration| duration.is_zero()) {
            let allowed = format!("more than 0, up to {}", MAX_DURATION.as_secs());
            problems.push(Problem::new("bounds.keep_s", self.max_cache_s, allowed));
        }
        problems
    }

    /// Returns the longest time for which callers may cache a response of the directory, or `None` if
    /// the setting is out of range.
    pub fn max_cache(&self) -> Option<Duration> {
        time::seconds(self.max_cache_s)
    }

    /// Returns the time after which a draining engine must not receive new requests.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }
}

impl Settings {
    /// Validates the values and returns all problems found.
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
        problems.extend(self.bounds.problems());
        for (key, millis) in [
            ("stop_ms", self.stop_ms),
            ("bounds.handover_ms", self.bounds.handover_ms),
            ("bounds.drain_ms", self.bounds.drain_ms),
        ] {
            if Duration::from_millis(millis) > MAX_DURATION {
                let allowed = format!("up to {}", MAX_DURATION.as_millis());
                problems.push(Problem::new(key, millis, allowed));
            }
        }
        problems
    }

    /// Returns the time between the signal to stop and the forced end of the process.
    pub fn stop(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}
