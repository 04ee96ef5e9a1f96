//! The configuration in force at this process, and the age of its confirmation.
//!
//! A revision is confirmed when the store, or a peer that learned it from the store, reports it as
//! the head. Ages add up along the chain: a peer's confirmation has the age that the peer reports,
//! counted from when the request to the peer was sent. A process that was paused or partitioned
//! finds its confirmation expired and must not make decisions by its register.
//!
//! While no member can reach the store, nobody can change the configuration either. The highest
//! revision that more than half of the view holds then counts as confirmed, as long as each of
//! these members reports that it can't reach the store.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::View;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Revision;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as Recorded;
use corianderyoke_history::Recorder;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer;
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::ops::config::queries;
use crate::ops::config::ConfigReader;
use crate::ops::config::Result;
use crate::ops::config::Snapshot;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Age at which a confirmation expires.
pub const CONFIRMATION_TTL: Duration = Duration::from_millis(2500);

/// The store counts as unreachable if it hasn't responded for this long. The time is shorter than
/// [`CONFIRMATION_TTL`], so that in an outage all members report it to their peers before the last
/// confirmation expires, and none has to stop.
const STORE_UNREACHABLE_AFTER: Duration = Duration::from_millis(1500);

/// The latest report of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// When the request was sent that the peer responded to.
    asked_at: Tick,
    store_ok: bool,
    revision: Revision,
}

#[derive(Default)]
struct State {
    history: Recorder,
    reader: ConfigReader,
    register: Option<Arc<Register>>,
    confirmed_at: Option<Tick>,
    /// When the latest read that the store responded to was started.
    store_read_at: Option<Tick>,
    peers: IndexMap<MemberId, PeerState>,
    /// When more than half of the view was last found to be in the same outage.
    outage_at: Option<Tick>,
}

/// The configuration at this process.
#[derive(Default)]
pub struct Config {
    state: Mutex<State>,
}

impl Config {
    /// Starts without a configuration; revisions that come into force are recorded in `history`.
    pub fn new(history: Recorder) -> Self {
        Config { state: Mutex::new(State { history, ..State::default() }) }
    }

    /// The register in force.
    pub fn register(&self) -> Option<Arc<Register>> {
        self.state.lock().register.clone()
    }

    /// The revision in force; zero if there is none yet.
    pub fn revision(&self) -> Revision {
        self.state.lock().reader.revision()
    }

    /// Whether the confirmation, or the detected outage, is recent enough to make decisions by the
    /// register.
    pub fn is_fresh(&self, now: Tick) -> bool {
        let state = self.state.lock();
        let recent = |at: Option<Tick>| at.is_some_and(|at| now.since(at) < CONFIRMATION_TTL);
        state.register.is_some() && (recent(state.confirmed_at) || recent(state.outage_at))
    }

    /// The report that this process sends to its peers.
    pub fn report(&self, now: Tick) -> peer::Config {
        let state = self.state.lock();
        peer::Config {
            revision: state.reader.revision().0,
            confirmed: state.confirmed_at.is_some(),
            // Rounded up, so that a confirmation never seems younger after a chain of reports.
            age_ms: state.confirmed_at.map_or(0, |at| now.since(at).as_millis() as u64 + 1),
            store_ok: state.store_ok(now),
        }
    }

    /// Reads the configuration from the store. Returns whether the store responded.
    pub async fn poll(&self, platform: &dyn Platform) -> bool {
        let started_at = clock::now();
        match self.read(platform).await {
            Ok(head) => {
                let mut state = self.state.lock();
                if state.reader.revision() >= head {
                    state.confirmed_at = state.confirmed_at.max(Some(started_at));
                }
                state.store_read_at = Some(started_at);
                true
            }
            Err(e) => {
                events::log(Event::PlatformFailed, format_args!("reading=configuration cause={e}"));
                false
            }
        }
    }

    /// Reads the head and returns it. If it is newer than the revision in force, also reads the
    /// configuration.
    async fn read(&self, platform: &dyn Platform) -> Result<Revision> {
        let head = queries::head(platform).await?;
        if head > self.revision() {
            // The reader works on a copy, so that no lock is held across the read. If a peer has
            // sent a newer revision meanwhile, that one stays in force.
            let mut reader = ConfigReader::new();
            reader.adopt(self.state.lock().reader.snapshot());
            reader.poll(platform).await?;
            self.state.lock().install(reader.snapshot());
        }
        Ok(head)
    }

    /// Records a peer's report from the response to a request sent at `sent_at`. Returns whether
    /// the peer holds a newer revision, which the caller then has to fetch.
    pub fn record_peer(&self, from: &MemberId, sent_at: Tick, report: &peer::Config) -> bool {
        let mut state = self.state.lock();
        let revision = Revision(report.revision);
        let peer = PeerState { asked_at: sent_at, store_ok: report.store_ok, revision };
        state.peers.insert(from.clone(), peer);
        if revision > state.reader.revision() {
            return true;
        }
        if revision == state.reader.revision() && report.confirmed {
            let age = Duration::from_millis(report.age_ms);
            state.confirmed_at = state.confirmed_at.max(Some(sent_at - age));
        }
        false
    }

    /// Checks whether more than half of `view` is in the same outage of the store and none of these
    /// members holds a newer revision.
    pub fn detect_outage(&self, own_id: &MemberId, view: &View, now: Tick) {
        let mut state = self.state.lock();
        state.peers.retain(|id, _| view.contains(id));
        let recent = |peer: &&PeerState| now.since(peer.asked_at) < CONFIRMATION_TTL;
        let peers: Vec<PeerState> = state.peers.values().filter(recent).copied().collect();
        let own = usize::from(view.contains(own_id));
        let unreachable = peers.iter().all(|peer| !peer.store_ok) && !state.store_ok(now);
        let newest = peers.iter().all(|peer| peer.revision <= state.reader.revision());
        if unreachable && newest && 2 * (peers.len() + own) > view.members.len() {
            state.outage_at = Some(now);
        }
    }

    /// Installs a configuration that a peer sent, if it is newer.
    pub fn adopt(&self, response: &peer::RegisterResponse) {
        let text = std::str::from_utf8(&response.json).ok();
        let snapshot = text.and_then(|text| Snapshot::from_json(text).ok());
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.revision.0 == response.revision)
        {
            self.state.lock().install(snapshot);
        }
    }

    /// The configuration in force, for a peer that starts during an outage of the store; empty if
    /// there is none yet.
    pub fn export(&self) -> peer::RegisterResponse {
        let snapshot = self.state.lock().reader.snapshot();
        let json = match snapshot.revision.0 {
            0 => Vec::new(),
            _ => snapshot.to_json().into_bytes(),
        };
        peer::RegisterResponse { revision: snapshot.revision.0, json }
    }
}

impl State {
    fn store_ok(&self, now: Tick) -> bool {
        self.store_read_at.is_some_and(|at| now.since(at) < STORE_UNREACHABLE_AFTER)
    }

    fn install(&mut self, snapshot: Snapshot) {
        if let Some(register) = self.reader.adopt(snapshot) {
            let revision = register.revision;
            self.register = Some(register);
            // The new revision isn't confirmed yet.
            self.confirmed_at = None;
            self.outage_at = None;
            events::log(Event::RevisionInForce, format_args!("revision={revision}"));
            self.history.record(|| Recorded::RevisionInForce { revision: revision.0 });
        }
    }
}
