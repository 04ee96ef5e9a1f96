//! Settings of the daemon and their validation.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use corianderyoke_adapter::duties;
use corianderyoke_coord::memory;
use corianderyoke_coord::memory::Limits;
use corianderyoke_coord::register::Problem;
use corianderyoke_coord::serving::caps::Tolerance;
use corianderyoke_coord::serving::duties::Duty;
use corianderyoke_coord::serving::quotas::RetryAllowance;
use corianderyoke_coord::serving::usage::UsageSettings;
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
    /// Memory of the instance in megabytes. `None`: what callers may make the daemon hold is
    /// unlimited.
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may open. `None`: connections of callers are unlimited, unless
    /// `memory_mb` limits them.
    pub max_fds: Option<u64>,
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
    /// Time between the signal to stop and the forced end of the process, in milliseconds. `None`:
    /// the process is never ended by force, so it waits for its last request.
    pub stop_ms: Option<u64>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log: String,
    /// Factor on the prefill that cached prompt parts save, for the choice of engines; 0 ignores them.
    /// `None`: what this daemon sent recently counts as cached whatever an engine's memory, and one
    /// engine is preferred for each shared prefix.
    pub prefix_weight: Option<f64>,
    /// Cost of sending a request to an engine in another zone, in milliseconds.
    pub zone_cost_ms: Option<f64>,
    /// Limits agreed on between the operator and the platform.
    pub bounds: Bounds,
    /// Calls to the platform's API that only one daemon at a time makes.
    pub duties: Duties,
}

/// Calls to the platform's API that only one daemon at a time makes. There are none without an address.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Duties {
    /// Address of the API, `host:port`.
    pub address: Option<String>,
    /// Whether usage is reported.
    pub usage: bool,
    /// Whether numbers of engines are ordered.
    pub scaling: bool,
    /// Names of duties as the deployment lists them, separated by commas; they add to `usage` and
    /// `scaling`. Names that aren't known are ignored.
    pub list: String,
    /// Calls a second that the API accepts from all daemons. `None`: any number.
    pub calls_per_s: Option<f64>,
    /// Whether the API refuses calls with a lower fence than it has seen.
    pub fenced: Option<bool>,
}

impl Duties {
    /// Returns the address of the API as `host:port`.
    pub fn host(&self) -> Option<&str> {
        let address = self.address.as_deref()?;
        let address = address.strip_prefix("http://").unwrap_or(address);
        Some(address.trim_end_matches('/'))
    }

    /// Returns whether there is a duty.
    pub fn has(&self, duty: Duty) -> bool {
        let is_set = match duty {
            Duty::Usage => self.usage,
            Duty::Scaling => self.scaling,
        };
        let mut names = self.list.split(',').map(str::trim);
        self.address.is_some()
            && (is_set || names.any(|name| duties::decode_duty(name) == Some(duty)))
    }

    fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let has_port = |host: &str| {
            let parts = host.rsplit_once(':');
            parts.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
        };
        if let Some(host) = self.host().filter(|host| !has_port(host)) {
            problems.push(Problem::new("duties.address", host, "host:port"));
        }
        let is_rate = |rate: &f64| *rate > 0.0 && rate.is_finite();
        if let Some(rate) = self.calls_per_s.filter(|rate| !is_rate(rate)) {
            problems.push(Problem::new("duties.calls_per_s", rate, "more than 0"));
        }
        problems
    }
}

/// Limits that apply to the whole fleet. A limit that a deployment doesn't have is `None`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Least time between the orders of two successive lease holders, in milliseconds. `None`: a
    /// successor may order as soon as the term before is over.
    pub handover_ms: Option<u64>,
    /// Time after which a draining engine must not receive new requests, in milliseconds. `None`:
    /// requests that were on their way may still reach it; it is avoided once it is known to drain.
    pub drain_ms: Option<u64>,
    /// Retries per first attempt. Retries are unlimited unless this and `retry_extra` are set.
    pub retry_ratio: Option<f64>,
    /// Additional retries of the whole fleet. Retries are unlimited unless this and `retry_ratio`
    /// are set.
    pub retry_extra: Option<f64>,
    /// Fraction of a team's rate and burst by which the fleet may exceed them. `None`: the rate and
    /// the burst are enforced as the desired state names them.
    pub cap_overage: Option<f64>,
    /// Additional tokens by which the fleet may exceed a team's limit. `None`: as for `cap_overage`.
    pub cap_slack: Option<f64>,
    /// Factor on the configured rate limit of a cold engine. Cold engines have no rate limit unless
    /// this and `cold_extra` are set.
    pub cold_factor: Option<f64>,
    /// Requests per second in addition to that rate limit. Cold engines have no rate limit unless
    /// this and `cold_factor` are set.
    pub cold_extra: Option<f64>,
    /// Longest time for which callers may cache a response of the directory, in seconds. `None`: as
    /// long as the directory states.
    #[serde(rename = "keep_s")]
    pub max_cache_s: Option<f64>,
    /// Length of a window of usage, in seconds. `None`: 5 s.
    pub usage_window_s: Option<f64>,
    /// Fraction by which a reported count may differ from the true one. It bounds what the daemons
    /// may lose; they count exactly, so that nothing depends on it.
    pub usage_tolerance: Option<f64>,
    /// Time after a window's end by which its report must arrive, in seconds. `None`: 10 s.
    pub usage_late_s: Option<f64>,
}

/// Drain time by which the engines' entries are read if the deployment names none, so that draining
/// engines are still avoided soon.
const DEFAULT_DRAIN: Duration = Duration::from_secs(2);

/// Largest factor on the prefill that cached prompt parts save.
const MAX_PREFIX_WEIGHT: f64 = 10.0;
/// Largest cost of sending a request to another zone, in milliseconds.
const MAX_ZONE_COST_MS: f64 = 60_000.0;

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "daemon-1".to_owned(),
            zone: String::new(),
            capacity: 1,
            memory_mb: None,
            max_fds: None,
            first_start: false,
            platform: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            callers: any,
            ready: any,
            directory: any,
            peers: any,
            metrics: any,
            stop_ms: None,
            log: "info".to_owned(),
            prefix_weight: None,
            zone_cost_ms: None,
            bounds: Bounds::default(),
            duties: Duties::default(),
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
            ("bounds.usage_tolerance", self.usage_tolerance),
        ];
        let is_amount = |value: f64| value >= 0.0 && value.is_finite();
        let set = amounts.into_iter().filter_map(|(key, value)| Some((key, value?)));
        let odd = set.filter(|(_, value)| !is_amount(*value));
        let mut problems: Vec<Problem> =
            odd.map(|(key, value)| Problem::new(key, value, "0 or more")).collect();
        if let Some(max_cache_s) = self.max_cache_s {
            if self.max_cache().is_none_or(|duration| duration.is_zero()) {
                let allowed = format!("more than 0, up to {}", MAX_DURATION.as_secs());
                problems.push(Problem::new("bounds.keep_s", max_cache_s, allowed));
            }
        }
        for (key, value) in [
            ("bounds.usage_window_s", self.usage_window_s),
            ("bounds.usage_late_s", self.usage_late_s),
        ] {
            let Some(value) = value else { continue };
            if time::seconds(value).is_none_or(|duration| duration < Duration::from_millis(1)) {
                let allowed = format!("0.001 to {}", MAX_DURATION.as_secs());
                problems.push(Problem::new(key, value, allowed));
            }
        }
        problems
    }

    /// Returns the parameters of the usage reports.
    pub fn usage(&self, first_start: bool) -> UsageSettings {
        let default = UsageSettings::default();
        let set = |value: Option<f64>| value.and_then(time::seconds);
        UsageSettings {
            window: set(self.usage_window_s).unwrap_or(default.window),
            late: set(self.usage_late_s).unwrap_or(default.late),
            first_start,
        }
    }

    /// Returns the longest time for which callers may cache a response of the directory, or `None` if
    /// it is unlimited or the setting is out of range.
    pub fn max_cache(&self) -> Option<Duration> {
        time::seconds(self.max_cache_s?)
    }

    /// Returns the time within which draining engines must be known.
    pub fn drain(&self) -> Duration {
        self.drain_ms.map_or(DEFAULT_DRAIN, Duration::from_millis)
    }

    /// Returns the least time between the orders of two successive lease holders.
    pub fn handover(&self) -> Duration {
        self.handover_ms.map_or(Duration::ZERO, Duration::from_millis)
    }

    /// Returns the amount by which the fleet may exceed a team's limit.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            overage: self.cap_overage.unwrap_or_default(),
            slack: self.cap_slack.unwrap_or_default(),
        }
    }

    /// Returns the limit on the retries of the whole fleet, or `None` if they are unlimited.
    pub fn retry_allowance(&self) -> Option<RetryAllowance> {
        Some(RetryAllowance { ratio: self.retry_ratio?, extra: self.retry_extra? })
    }

    /// Returns the requests per second that a cold engine may receive from the whole fleet, given the
    /// rate that its service names, or `None` if they are unlimited.
    pub fn cold_limit(&self, rate: f64) -> Option<f64> {
        Some(rate * self.cold_factor? + self.cold_extra?)
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
        if let Some(stop_ms) = self.stop_ms.filter(|millis| *millis < 1_000) {
            problems.push(Problem::new("stop_ms", stop_ms, "1000 or more"));
        }
        for (key, value, most) in [
            ("prefix_weight", self.prefix_weight, MAX_PREFIX_WEIGHT),
            ("zone_cost_ms", self.zone_cost_ms, MAX_ZONE_COST_MS),
        ] {
            if let Some(value) = value.filter(|value| !(0.0..=most).contains(value)) {
                problems.push(Problem::new(key, value, format!("0 to {most}")));
            }
        }
        problems.extend(memory::problems(self.memory_mb, self.max_fds));
        problems.extend(self.bounds.problems());
        problems.extend(self.duties.problems());
        for (key, millis) in [
            ("stop_ms", self.stop_ms),
            ("bounds.handover_ms", self.bounds.handover_ms),
            ("bounds.drain_ms", self.bounds.drain_ms),
        ] {
            let Some(millis) = millis else { continue };
            if Duration::from_millis(millis) > MAX_DURATION {
                let allowed = format!("up to {}", MAX_DURATION.as_millis());
                problems.push(Problem::new(key, millis, allowed));
            }
        }
        problems
    }

    /// Returns the limits on what the daemon holds for callers.
    pub fn limits(&self) -> Limits {
        Limits::of_instance(self.memory_mb, self.max_fds)
    }

    /// Returns the time between the signal to stop and the forced end of the process, if it is ended
    /// by force.
    pub fn stop(&self) -> Option<Duration> {
        self.stop_ms.map(Duration::from_millis)
    }
}
