//! The settings file of a router.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use corianderyoke_coord::memory;
use corianderyoke_coord::memory::Limits;
use corianderyoke_coord::register::Problem;
use serde::Deserialize;
use serde::Serialize;

use crate::util::start::daemon_problems;

/// Settings of a router, with the keys of its settings file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Instance name, unique among the instances.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Cell that the instance belongs to; its members share one view.
    pub cell: String,
    /// Duration of a member's lease after a renewal, in milliseconds; the same in the whole cell.
    pub term_ms: u64,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for operators.
    pub operators: SocketAddr,
    /// UDP address to listen on for the other members.
    pub peers: SocketAddr,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log: String,
    /// File to which history events are appended; empty for none.
    pub history: String,
    /// Maximum number of requests in progress.
    pub open_requests: usize,
    /// Memory of the instance in megabytes; absent to leave unlimited what callers may make the
    /// router hold.
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may open; absent to leave callers' connections unlimited, unless
    /// `memory_mb` limits them.
    pub max_fds: Option<u64>,
    /// Maximum number of attempts at upstreams for one request.
    pub attempts: u32,
    /// Longest wait for an upstream's first token, in milliseconds.
    pub first_ms: u64,
    /// Longest wait for each further token of an upstream, in milliseconds.
    pub next_ms: u64,
}

impl Settings {
    /// Returns the problems with the values; empty if all are valid.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = daemon_problems(&self.name, &self.log, &self.cell, self.term_ms);
        if self.attempts == 0 {
            problems.push(Problem::new("attempts", "0", "1 or more"));
        }
        if self.open_requests == 0 {
            problems.push(Problem::new("open_requests", "0", "1 or more"));
        }
        if self.first_ms == 0 || self.next_ms == 0 {
            problems.push(Problem::new("first_ms, next_ms", "0", "1 or more milliseconds"));
        }
        problems.extend(memory::problems(self.memory_mb, self.max_fds));
        problems
    }

    /// Returns the limits on what the router holds for callers.
    pub fn limits(&self) -> Limits {
        Limits::of_instance(self.memory_mb, self.max_fds)
    }
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            name: "router-1".to_owned(),
            zone: String::new(),
            cell: "cell-1".to_owned(),
            term_ms: 3_000,
            platform: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            callers: any,
            operators: any,
            peers: any,
            log: "info".to_owned(),
            history: String::new(),
            open_requests: 10_000,
            memory_mb: None,
            max_fds: None,
            attempts: 4,
            first_ms: 10_000,
            next_ms: 2_000,
        }
    }
}
