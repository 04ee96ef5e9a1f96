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
const RELAY: u64 = 1;
/// Seed of the hash that orders successors, another so that one instance doesn't do everything.
const DUTY: u64 = 2;

/// Seed of the hash by which daemons are listed in short.
const MARK: u64 = 3;

/// Time without word after which a daemon isn't named to callers any longer: several messages in
/// a row must have been lost.
pub const SILENCE: Duration = Duration::from_millis(1_500);

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
struct Known {
    daemon: Daemon,
    heard: Option<Tick>,
    fitness: Fitness,
    since: Tick,
    /// When it was last new, started again or changed its fitness.
    changed: Tick,
    /// Whether it was heard since it was last reported silent.
    speaks: bool,
}

/// All daemons but this one.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    others: IndexMap<String, Known>,
}

impl Roster {
    /// Takes the daemons of all rows over; those without a row that are silent are forgotten.
    pub fn rows(&mut self, rows: Vec<Daemon>, now: Tick) {
        self.others.retain(|name, known| {
            known.is_heard(now) || rows.iter().any(|daemon| daemon.name == *name)
        });
        for daemon in rows {
            let newer = self
                .others
                .get(&daemon.name)
                .is_none_or(|known| known.daemon.incarnation < daemon.incarnation);
            if newer {
                let fitness = Fitness::Unready;
                let known =
                    Known { daemon, heard: None, fitness, since: now, changed: now, speaks: false };
                self.others.insert(known.daemon.name.clone(), known);
            }
        }
    }

    /// Takes word from a daemon; whether it is new here or started again.
    pub fn hear(&mut self, daemon: Daemon, fitness: Fitness, now: Tick) -> bool {
        let before = self.others.get(&daemon.name);
        if before.is_some_and(|known| known.daemon.incarnation > daemon.incarnation) {
            return false;
        }
        let new = before.is_none_or(|known| {
            known.heard.is_none() || known.daemon.incarnation < daemon.incarnation
        });
        let same = before.filter(|known| !new && known.fitness == fitness);
        let changed = same.map_or(now, |known| known.changed);
        let known = Known { daemon, heard: Some(now), fitness, since: now, changed, speaks: true };
        self.others.insert(known.daemon.name.clone(), known);
        new
    }

    /// Daemons that callers may be sent to.
    pub fn ready(&self, now: Tick) -> impl Iterator<Item = &Daemon> {
        let fit = move |known: &&Known| known.fitness == Fitness::Ready && known.is_heard(now);
        self.others.values().filter(fit).map(|known| &known.daemon)
    }

    /// Daemons heard lately.
    pub fn heard(&self, now: Tick) -> impl Iterator<Item = &Daemon> {
        self.others.values().filter(move |known| known.is_heard(now)).map(|known| &known.daemon)
    }

    /// All daemons that may exist.
    pub fn known(&self) -> impl Iterator<Item = &Daemon> {
        self.others.values().map(|known| &known.daemon)
    }

    /// Daemons of which nothing was heard for `span`.
    pub fn silent(&self, span: Duration, now: Tick) -> impl Iterator<Item = &Daemon> {
        let quiet = move |known: &&Known| now.since(known.heard.unwrap_or(known.since)) > span;
        self.others.values().filter(quiet).map(|known| &known.daemon)
    }

    /// Daemons that fell silent since this was last asked.
    pub fn fallen_silent(&mut self, now: Tick) -> Vec<String> {
        let silent = |known: &&mut Known| known.speaks && !known.is_heard(now);
        let fallen = self.others.values_mut().filter(silent);
        fallen
            .map(|known| {
                known.speaks = false;
                known.daemon.name.clone()
            })
            .collect()
    }

    /// Daemons heard lately, with what they can do for callers and when that changed.
    pub fn described(&self, now: Tick) -> impl Iterator<Item = (&Daemon, Fitness, Tick)> {
        let heard = self.others.values().filter(move |known| known.is_heard(now));
        heard.map(|known| (&known.daemon, known.fitness, known.changed))
    }

    /// Takes in a list of marks of daemons that were heard; gives whether one is known by none of
    /// them, and so has to be looked up.
    pub fn hear_marks(&mut self, marks: &[u32], own: u32, now: Tick) -> bool {
        let mut unknown: IndexSet<u32> = marks.iter().copied().filter(|m| *m != own).collect();
        for known in self.others.values_mut() {
            if unknown.swap_remove(&mark(&known.daemon, known.fitness)) {
                known.heard = Some(now);
                known.speaks = true;
            }
        }
        !unknown.is_empty()
    }

    /// The daemons that hear everybody, first choice first: those on the largest instances, of
    /// which each daemon takes the same ones. Daemons that never spoke count as long as they may
    /// just have started.
    pub fn relays(&self, own: &Daemon, count: usize, now: Tick) -> Vec<Daemon> {
        let fresh = |known: &&Known| known.is_heard(now) || now.since(known.since) < SILENCE;
        let others = self.others.values().filter(fresh).map(|known| &known.daemon);
        let mut all: Vec<&Daemon> = others.chain([own]).collect();
        let rank = |daemon: &Daemon| mix(hash(RELAY, daemon.name.bytes()));
        all.sort_by_cached_key(|daemon| Reverse((daemon.capacity, rank(daemon))));
        all.into_iter().take(count).cloned().collect()
    }

    /// Position of a daemon among those heard that could do a duty, the largest instances first.
    pub fn rank(&self, own: &Daemon, now: Tick) -> usize {
        let weight = |daemon: &Daemon| (daemon.capacity, mix(hash(DUTY, daemon.name.bytes())));
        let mine = weight(own);
        self.heard(now).filter(|daemon| weight(daemon) > mine).count()
    }

    /// Part of the fleet that this daemon hears, itself included.
    pub fn share(&self, now: Tick) -> f64 {
        let heard = self.heard(now).count() + 1;
        heard as f64 / (self.others.len() + 1) as f64
    }

    /// How many daemons may exist, this one included.
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }
}

/// A daemon's process and fitness as one number, for lists of many daemons. Two that share one
/// would each count as heard with the other, once in some million fleets.
pub fn mark(daemon: &Daemon, fitness: Fitness) -> u32 {
    let process = daemon.name.bytes().chain(daemon.incarnation.to_le_bytes());
    mix(hash(MARK, process.chain([fitness as u8]))) as u32
}

impl Known {
    fn is_heard(&self, now: Tick) -> bool {
        self.heard.is_some_and(|at| now.since(at) < SILENCE)
    }
}
