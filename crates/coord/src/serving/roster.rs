//! Tracks which daemons exist and which of them are alive.
//!
//! A daemon writes one row when it starts and sends a report about itself to the others several
//! times per second. Rows list the daemons that may exist; only reports show that a daemon is
//! alive.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::hash::hash;
use crate::hash::mix;
use crate::time::Tick;

/// Seed of the hash that ranks daemons as relays.
const RELAY_SEED: u64 = 1;
/// Seed of the hash that ranks candidates for other duties. It differs from the relay seed so that
/// one instance doesn't get all duties.
const DUTY_SEED: u64 = 2;

/// Seed of the hash that stands for a daemon in digests.
const FINGERPRINT_SEED: u64 = 3;

/// Time without a report after which a daemon counts as unreachable. It covers the loss of several
/// consecutive reports.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Identity and addresses of a daemon, from its row or its report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Daemon {
    /// Instance name.
    pub name: String,
    /// Start of the process; a higher value replaces a lower one.
    pub incarnation: u64,
    /// Address for reports of other daemons.
    pub peers: SocketAddr,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Relative capacity of the daemon's instance.
    #[serde(default)]
    pub capacity: u32,
}

/// Whether callers may be sent to a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fitness {
    /// Accepts requests.
    Ready,
    /// Can't accept requests at present.
    Unready,
    /// Is shutting down.
    Leaving,
}

#[derive(Clone, Debug)]
struct Peer {
    daemon: Daemon,
    last_heard: Option<Tick>,
    fitness: Fitness,
    /// Time of the row or report that this record comes from.
    recorded_at: Tick,
    /// Time at which the daemon was added, restarted or changed its fitness.
    changed: Tick,
    /// Whether a report arrived since the daemon was last returned as timed out.
    responsive: bool,
}

/// All known daemons except this one.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    others: IndexMap<String, Peer>,
}

impl Roster {
    /// Applies all rows. Daemons without a row are removed once their reports time out.
    pub fn apply_rows(&mut self, rows: Vec<Daemon>, now: Tick) {
        self.others.retain(|name, peer| {
            peer.is_live(now) || rows.iter().any(|daemon| daemon.name == *name)
        });
        for daemon in rows {
            let newer = self
                .others
                .get(&daemon.name)
                .is_none_or(|peer| peer.daemon.incarnation < daemon.incarnation);
            if newer {
                let fitness = Fitness::Unready;
                let peer = Peer {
                    daemon,
                    last_heard: None,
                    fitness,
                    recorded_at: now,
                    changed: now,
                    responsive: false,
                };
                self.others.insert(peer.daemon.name.clone(), peer);
            }
        }
    }

    /// Processes a report. Returns whether the daemon is new or has restarted.
    pub fn record_report(&mut self, daemon: Daemon, fitness: Fitness, now: Tick) -> bool {
        let before = self.others.get(&daemon.name);
        if before.is_some_and(|peer| peer.daemon.incarnation > daemon.incarnation) {
            return false;
        }
        let new = before.is_none_or(|peer| {
            peer.last_heard.is_none() || peer.daemon.incarnation < daemon.incarnation
        });
        let same = before.filter(|peer| !new && peer.fitness == fitness);
        let changed = same.map_or(now, |peer| peer.changed);
        let peer = Peer {
            daemon,
            last_heard: Some(now),
            fitness,
            recorded_at: now,
            changed,
            responsive: true,
        };
        self.others.insert(peer.daemon.name.clone(), peer);
        new
    }

    /// Iterates over live daemons that accept requests.
    pub fn ready(&self, now: Tick) -> impl Iterator<Item = &Daemon> {
        let is_ready = move |peer: &&Peer| peer.fitness == Fitness::Ready && peer.is_live(now);
        self.others.values().filter(is_ready).map(|peer| &peer.daemon)
    }

    /// Iterates over live daemons.
    pub fn live(&self, now: Tick) -> impl Iterator<Item = &Daemon> {
        self.others.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.daemon)
    }

    /// Iterates over all daemons that may exist.
    pub fn known(&self) -> impl Iterator<Item = &Daemon> {
        self.others.values().map(|peer| &peer.daemon)
    }

    /// Iterates over daemons that sent no report for longer than `span`.
    pub fn silent_for(&self, span: Duration, now: Tick) -> impl Iterator<Item = &Daemon> {
        let is_silent =
            move |peer: &&Peer| now.since(peer.last_heard.unwrap_or(peer.recorded_at)) > span;
        self.others.values().filter(is_silent).map(|peer| &peer.daemon)
    }

    /// Returns the names of daemons that timed out since the previous call.
    pub fn take_timed_out(&mut self, now: Tick) -> Vec<String> {
        let timed_out = |peer: &&mut Peer| peer.responsive && !peer.is_live(now);
        let silent = self.others.values_mut().filter(timed_out);
        silent
            .map(|peer| {
                peer.responsive = false;
                peer.daemon.name.clone()
            })
            .collect()
    }

    /// Iterates over live daemons with their fitness and the time at which their state changed.
    pub fn live_states(&self, now: Tick) -> impl Iterator<Item = (&Daemon, Fitness, Tick)> {
        let live = self.others.values().filter(move |peer| peer.is_live(now));
        live.map(|peer| (&peer.daemon, peer.fitness, peer.changed))
    }

    /// Processes the fingerprints of daemons that a relay considers alive. Returns whether one of
    /// them matches no known daemon.
    pub fn record_fingerprints(&mut self, fingerprints: &[u32], own: u32, now: Tick) -> bool {
        let mut unknown: IndexSet<u32> =
            fingerprints.iter().copied().filter(|other| *other != own).collect();
        for peer in self.others.values_mut() {
            if unknown.swap_remove(&fingerprint(&peer.daemon, peer.fitness)) {
                peer.last_heard = Some(now);
                peer.responsive = true;
            }
        }
        !unknown.is_empty()
    }

    /// Returns the daemons that act as relays, in order of preference. Every daemon selects the
    /// same ones, on the largest instances. A daemon that hasn't reported yet counts while it may
    /// have just started.
    pub fn relays(&self, own: &Daemon, count: usize, now: Tick) -> Vec<Daemon> {
        let others = self.others.values().filter(|peer| peer.may_be_live(now));
        let others = others.map(|peer| &peer.daemon);
        let mut all: Vec<&Daemon> = others.chain([own]).collect();
        let rank = |daemon: &Daemon| mix(hash(RELAY_SEED, daemon.name.bytes()));
        all.sort_by_cached_key(|daemon| Reverse((daemon.capacity, rank(daemon))));
        all.into_iter().take(count).cloned().collect()
    }

    /// Returns the rank of a daemon among the candidates for a duty; larger instances come first. A
    /// daemon that hasn't reported yet counts while it may have just started.
    pub fn rank(&self, own: &Daemon, now: Tick) -> usize {
        let weight = |daemon: &Daemon| (daemon.capacity, mix(hash(DUTY_SEED, daemon.name.bytes())));
        let mine = weight(own);
        let is_candidate = |peer: &&Peer| peer.fitness != Fitness::Leaving && peer.may_be_live(now);
        let candidates = self.others.values().filter(is_candidate);
        candidates.filter(|peer| weight(&peer.daemon) > mine).count()
    }

    /// Returns the fraction of the fleet that is alive, including this daemon.
    pub fn live_fraction(&self, now: Tick) -> f64 {
        let live = self.live(now).count() + 1;
        live as f64 / (self.others.len() + 1) as f64
    }

    /// Returns the number of daemons that may exist, including this one.
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }
}

/// Hash of a daemon's process and fitness that stands for it in digests. Two daemons with equal
/// hashes would keep each other alive, which occurs once in several million fleets.
pub fn fingerprint(daemon: &Daemon, fitness: Fitness) -> u32 {
    let process = daemon.name.bytes().chain(daemon.incarnation.to_le_bytes());
    mix(hash(FINGERPRINT_SEED, process.chain([fitness as u8]))) as u32
}

impl Peer {
    fn is_live(&self, now: Tick) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Returns whether the daemon is alive or may have just started.
    fn may_be_live(&self, now: Tick) -> bool {
        self.is_live(now) || now.since(self.recorded_at) < PEER_TIMEOUT
    }
}
