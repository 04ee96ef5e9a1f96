//! Which daemons exist and which of them are alive.
//!
//! A daemon writes one row when it starts and tells all others of itself a few times a second.
//! Rows say who may exist; only word from a daemon says that it is alive.

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

/// Seed of the hash that chooses relays.
const RELAY_SEED: u64 = 1;
/// Seed of the hash that orders successors, another so that one instance doesn't do everything.
const DUTY_SEED: u64 = 2;

/// Seed of the hash by which daemons are listed in short.
const FINGERPRINT_SEED: u64 = 3;

/// Time without word after which a daemon isn't named to callers any longer: several messages in
/// a row must have been lost.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A daemon, as its row or its own word describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Daemon {
    /// Instance name.
    pub name: String,
    /// Start of the process; a later one replaces an earlier one.
    pub incarnation: u64,
    /// Address for the other daemons.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// How much its instance can do, as a weight among the fleet's.
    #[serde(default)]
    pub capacity: u32,
}

/// Whether a daemon may be named to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fitness {
    /// Serves.
    Ready,
    /// Can't serve yet, or not now.
    Unready,
    /// Was told to stop.
    Leaving,
}

#[derive(Clone, Debug)]
struct Peer {
    daemon: Daemon,
    last_heard: Option<Tick>,
    fitness: Fitness,
    added_at: Tick,
    /// When it was last new, started again or changed its fitness.
    changed: Tick,
    /// Whether it was heard since it was last reported silent.
    responsive: bool,
}

/// All daemons but this one.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    others: IndexMap<String, Peer>,
}

impl Roster {
    /// Takes the daemons of all rows over; those without a row that are silent are forgotten.
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
                    added_at: now,
                    changed: now,
                    responsive: false,
                };
                self.others.insert(peer.daemon.name.clone(), peer);
            }
        }
    }

    /// Takes word from a daemon; whether it is new here or started again.
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
            added_at: now,
            changed,
            responsive: true,
        };
        self.others.insert(peer.daemon.name.clone(), peer);
        new
    }

    /// Daemons that callers may be sent to.
    pub fn ready(&self, now: Tick) -> impl Iterator<Item = &Daemon> {
        let is_ready = move |peer: &&Peer| peer.fitness == Fitness::Ready && peer.is_live(now);
        self.others.values().filter(is_ready).map(|peer| &peer.daemon)
    }

    /// Daemons heard lately.
    pub fn live(&self, now: Tick) -> impl Iterator<Item = &Daemon> {
        self.others.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.daemon)
    }

    /// All daemons that may exist.
    pub fn known(&self) -> impl Iterator<Item = &Daemon> {
        self.others.values().map(|peer| &peer.daemon)
    }

    /// Daemons of which nothing was heard for `span`.
    pub fn silent_for(&self, span: Duration, now: Tick) -> impl Iterator<Item = &Daemon> {
        let is_silent =
            move |peer: &&Peer| now.since(peer.last_heard.unwrap_or(peer.added_at)) > span;
        self.others.values().filter(is_silent).map(|peer| &peer.daemon)
    }

    /// Daemons that fell silent since this was last asked.
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

    /// Daemons heard lately, with what they can do for callers and when that changed.
    pub fn live_states(&self, now: Tick) -> impl Iterator<Item = (&Daemon, Fitness, Tick)> {
        let live = self.others.values().filter(move |peer| peer.is_live(now));
        live.map(|peer| (&peer.daemon, peer.fitness, peer.changed))
    }

    /// Takes in a list of marks of daemons that were heard; gives whether one is known by none of
    /// them, and so has to be looked up.
    pub fn record_fingerprints(&mut self, fingerprints: &[u32], own: u32, now: Tick) -> bool {
        let mut unknown: IndexSet<u32> =
            fingerprints.iter().copied().filter(|m| *m != own).collect();
        for peer in self.others.values_mut() {
            if unknown.swap_remove(&fingerprint(&peer.daemon, peer.fitness)) {
                peer.last_heard = Some(now);
                peer.responsive = true;
            }
        }
        !unknown.is_empty()
    }

    /// The daemons that hear everybody, first choice first: those on the largest instances, of
    /// which each daemon takes the same ones. Daemons that never spoke count as long as they may
    /// just have started.
    pub fn relays(&self, own: &Daemon, count: usize, now: Tick) -> Vec<Daemon> {
        let is_candidate =
            |peer: &&Peer| peer.is_live(now) || now.since(peer.added_at) < PEER_TIMEOUT;
        let others = self.others.values().filter(is_candidate).map(|peer| &peer.daemon);
        let mut all: Vec<&Daemon> = others.chain([own]).collect();
        let rank = |daemon: &Daemon| mix(hash(RELAY_SEED, daemon.name.bytes()));
        all.sort_by_cached_key(|daemon| Reverse((daemon.capacity, rank(daemon))));
        all.into_iter().take(count).cloned().collect()
    }

    /// Position of a daemon among those heard that could do a duty, the largest instances first.
    pub fn rank(&self, own: &Daemon, now: Tick) -> usize {
        let weight = |daemon: &Daemon| (daemon.capacity, mix(hash(DUTY_SEED, daemon.name.bytes())));
        let mine = weight(own);
        self.live(now).filter(|daemon| weight(daemon) > mine).count()
    }

    /// Part of the fleet that this daemon hears, itself included.
    pub fn live_fraction(&self, now: Tick) -> f64 {
        let live = self.live(now).count() + 1;
        live as f64 / (self.others.len() + 1) as f64
    }

    /// How many daemons may exist, this one included.
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }
}

/// A daemon's process and fitness as one number, for lists of many daemons. Two that share one
/// would each count as heard with the other, once in some million fleets.
pub fn fingerprint(daemon: &Daemon, fitness: Fitness) -> u32 {
    let process = daemon.name.bytes().chain(daemon.incarnation.to_le_bytes());
    mix(hash(FINGERPRINT_SEED, process.chain([fitness as u8]))) as u32
}

impl Peer {
    fn is_live(&self, now: Tick) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }
}
