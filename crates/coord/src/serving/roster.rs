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

/// Time for which a daemon is described repeatedly after a change, since descriptions can be lost.
const DESCRIBE_TIME: Duration = Duration::from_millis(1_500);
/// Most daemons that one digest describes after a change, so that a digest stays small when many
/// daemons start at once.
const MAX_CHANGED_DESCRIBED: usize = 24;
/// Most daemons that one digest describes without a change.
const MAX_UNCHANGED_DESCRIBED: usize = 4;

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
    /// Accepts requests, but reaches no engine and forwards them through other daemons.
    Detached,
    /// Is shutting down. This is final until the process starts again.
    Leaving,
}

impl Fitness {
    const ALL: [Fitness; 4] =
        [Fitness::Ready, Fitness::Unready, Fitness::Detached, Fitness::Leaving];

    /// Returns whether the daemon may hold the lease on orders.
    fn may_order(self) -> bool {
        !matches!(self, Fitness::Detached | Fitness::Leaving)
    }
}

#[derive(Clone, Debug)]
struct Peer {
    daemon: Daemon,
    /// Fingerprints of the daemon in each state of [`Fitness::ALL`].
    fingerprints: [u32; 4],
    last_heard: Option<Tick>,
    fitness: Fitness,
    /// Time of the row or report that this record comes from.
    recorded_at: Tick,
    /// Time at which the daemon was added, restarted or changed its fitness.
    changed: Tick,
    /// Time at which this daemon, as a relay, last described the daemon to all others.
    described: Option<Tick>,
    /// Number of the latest digest of the daemon as a relay.
    digest: u64,
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
                self.others.insert(daemon.name.clone(), Peer::new(daemon, now));
            }
        }
    }

    /// Processes a report. Returns whether the daemon is new or has restarted.
    pub fn record_report(&mut self, daemon: Daemon, fitness: Fitness, now: Tick) -> bool {
        let before = self.others.get(&daemon.name);
        if before.is_some_and(|peer| peer.daemon.incarnation > daemon.incarnation) {
            return false;
        }
        let same = before.filter(|peer| peer.daemon.incarnation == daemon.incarnation).cloned();
        let mut peer = same.unwrap_or_else(|| Peer::new(daemon.clone(), now));
        let new = peer.last_heard.is_none();
        peer.daemon = daemon;
        peer.recorded_at = now;
        peer.record_fitness(fitness, now);
        self.others.insert(peer.daemon.name.clone(), peer);
        new
    }

    /// Returns whether a digest of a relay is later than those taken before. One without a number
    /// or of a process that isn't known yet may be.
    pub fn take_digest(&mut self, relay: &str, incarnation: u64, number: u64) -> bool {
        let Some(peer) = self.others.get_mut(relay) else { return true };
        let known = peer.daemon.incarnation;
        if incarnation != known || number == 0 {
            return incarnation >= known;
        }
        let is_later = number > peer.digest;
        peer.digest = peer.digest.max(number);
        is_later
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

    /// Returns the address for reports of a daemon.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.others.get(name).map(|peer| peer.daemon.peers)
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

    /// Returns the fingerprints of live daemons, without this one.
    pub fn live_fingerprints(&self, now: Tick) -> Vec<u32> {
        let live = self.others.values().filter(|peer| peer.is_live(now));
        live.map(|peer| fingerprint(&peer.daemon, peer.fitness)).collect()
    }

    /// Returns the daemons that the next digest of a relay describes: those that changed, and in
    /// turn some of the others. Each counts as described afterwards.
    pub fn take_descriptions(&mut self, now: Tick) -> Vec<(Daemon, Fitness)> {
        let mut live: Vec<&mut Peer> =
            self.others.values_mut().filter(|peer| peer.is_live(now)).collect();
        live.sort_by_key(|peer| peer.described);
        let (changed, unchanged): (Vec<&mut Peer>, Vec<&mut Peer>) = live
            .into_iter()
            .partition(|peer| peer.described.is_none_or(|at| at < peer.changed + DESCRIBE_TIME));
        let changed = changed.into_iter().take(MAX_CHANGED_DESCRIBED);
        let described = changed.chain(unchanged.into_iter().take(MAX_UNCHANGED_DESCRIBED));
        described
            .map(|peer| {
                peer.described = Some(now);
                (peer.daemon.clone(), peer.fitness)
            })
            .collect()
    }

    /// Processes the fingerprints of daemons that a relay considers alive. A fingerprint shows the
    /// fitness of a daemon whose process is known. Returns whether one of them matches no known
    /// process.
    pub fn record_fingerprints(&mut self, fingerprints: &[u32], own: &Daemon, now: Tick) -> bool {
        let own = Fitness::ALL.map(|fitness| fingerprint(own, fitness));
        let mut unknown: IndexSet<u32> =
            fingerprints.iter().copied().filter(|other| !own.contains(other)).collect();
        for peer in self.others.values_mut() {
            for (mark, fitness) in peer.fingerprints.into_iter().zip(Fitness::ALL) {
                if unknown.swap_remove(&mark) {
                    peer.record_fitness(fitness, now);
                }
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
        let is_candidate = |peer: &&Peer| peer.fitness.may_order() && peer.may_be_live(now);
        let candidates = self.others.values().filter(is_candidate);
        candidates.filter(|peer| weight(&peer.daemon) > mine).count()
    }

    /// Returns the addresses for reports of the live daemons that claim the lease first when its holder
    /// ends.
    pub fn candidates(&self, count: usize, now: Tick) -> Vec<SocketAddr> {
        let weight = |daemon: &Daemon| (daemon.capacity, mix(hash(DUTY_SEED, daemon.name.bytes())));
        let is_candidate = |peer: &&Peer| peer.fitness.may_order() && peer.is_live(now);
        let live = self.others.values().filter(is_candidate);
        let mut live: Vec<&Daemon> = live.map(|peer| &peer.daemon).collect();
        live.sort_by_cached_key(|daemon| Reverse(weight(daemon)));
        live.into_iter().take(count).map(|daemon| daemon.peers).collect()
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
    /// Creates the record of a daemon that hasn't reported yet.
    fn new(daemon: Daemon, now: Tick) -> Self {
        Peer {
            fingerprints: Fitness::ALL.map(|fitness| fingerprint(&daemon, fitness)),
            daemon,
            last_heard: None,
            fitness: Fitness::Unready,
            recorded_at: now,
            changed: now,
            described: None,
            digest: 0,
            responsive: false,
        }
    }

    /// Records that the daemon is alive in this state.
    fn record_fitness(&mut self, fitness: Fitness, now: Tick) {
        // A relay's digest may be older than the report that the daemon is leaving.
        let fitness = if self.fitness == Fitness::Leaving { Fitness::Leaving } else { fitness };
        if self.last_heard.is_none() || self.fitness != fitness {
            self.changed = now;
        }
        self.fitness = fitness;
        self.last_heard = Some(now);
        self.responsive = true;
    }

    fn is_live(&self, now: Tick) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Returns whether the daemon is alive or may have just started.
    fn may_be_live(&self, now: Tick) -> bool {
        self.is_live(now) || now.since(self.recorded_at) < PEER_TIMEOUT
    }
}
