//! The configuration in force at this process, and how long ago it was confirmed.
//!
//! A revision is confirmed when the store, or a peer that heard so from the store, says that it is
//! the head. Ages are chained: a peer's confirmation is as old as the peer says, counted from
//! before it was asked. A process that was paused, or is cut off, finds its confirmation too old
//! and must not decide by its register.
//!
//! While the store is away for everyone nobody can change the configuration either. Then the
//! highest revision that more than half of the view holds counts as confirmed, as long as each of
//! them says that it can't reach the store.

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

/// A confirmation older than this doesn't count.
pub const FRESH_FOR: Duration = Duration::from_millis(2500);

/// Without an answer for this long the store counts as out of reach. Every member has told its
/// peers so before the last confirmation goes stale, so an outage's start stops nobody.
const STORE_SILENCE: Duration = Duration::from_millis(1500);

/// What a peer said last.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Tick,
    store_ok: bool,
    revision: Revision,
}

#[derive(Default)]
struct State {
    history: Recorder,
    reader: ConfigReader,
    register: Option<Arc<Register>>,
    confirmed: Option<Tick>,
    /// When the store answered last, counted from before it was asked.
    store: Option<Tick>,
    peers: IndexMap<MemberId, Heard>,
    /// Whether more than half of the view is in the same outage.
    outage: Option<Tick>,
}

/// The configuration at this process.
#[derive(Default)]
pub struct Config {
    state: Mutex<State>,
}

impl Config {
    /// No configuration yet; revisions that come into force are recorded in `history`.
    pub fn new(history: Recorder) -> Self {
        Config { state: Mutex::new(State { history, ..State::default() }) }
    }

    /// The register in force.
    pub fn register(&self) -> Option<Arc<Register>> {
        self.state.lock().register.clone()
    }

    /// The revision in force; zero before any.
    pub fn revision(&self) -> Revision {
        self.state.lock().reader.revision()
    }

    /// Whether the revision was confirmed lately enough to decide by it.
    pub fn fresh(&self, now: Tick) -> bool {
        let state = self.state.lock();
        let recent = |at: Option<Tick>| at.is_some_and(|at| now.since(at) < FRESH_FOR);
        state.register.is_some() && (recent(state.confirmed) || recent(state.outage))
    }

    /// What this process tells its peers.
    pub fn told(&self, now: Tick) -> peer::Config {
        let state = self.state.lock();
        peer::Config {
            revision: state.reader.revision().0,
            confirmed: state.confirmed.is_some(),
            // Rounded up, so that a chain of confirmations never gets younger.
            age_ms: state.confirmed.map_or(0, |at| now.since(at).as_millis() as u64 + 1),
            store_ok: state.store_ok(now),
        }
    }

    /// Reads the store. Returns whether it answered.
    pub async fn poll(&self, platform: &dyn Platform) -> bool {
        let asked = clock::now();
        match self.read(platform).await {
            Ok(head) => {
                let mut state = self.state.lock();
                if state.reader.revision() >= head {
                    state.confirmed = state.confirmed.max(Some(asked));
                }
                state.store = Some(asked);
                true
            }
            Err(e) => {
                events::log(Event::PlatformFailed, format_args!("reading=configuration cause={e}"));
                false
            }
        }
    }

    /// Reads the head, and what is newer than what is held; the head.
    async fn read(&self, platform: &dyn Platform) -> Result<Revision> {
        let head = queries::head(platform).await?;
        if head > self.revision() {
            // The reader works on a copy, so that no lock is held over the read; what a peer
            // brought meanwhile is newer and stays.
            let mut reader = ConfigReader::new();
            reader.adopt(self.state.lock().reader.snapshot());
            reader.poll(platform).await?;
            self.state.lock().take(reader.snapshot());
        }
        Ok(head)
    }

    /// Takes in what a peer said in answer to a question of `asked`. Returns whether the peer
    /// holds a newer revision, which then has to be fetched.
    pub fn heard(&self, from: &MemberId, asked: Tick, told: &peer::Config) -> bool {
        let mut state = self.state.lock();
        let revision = Revision(told.revision);
        let heard = Heard { at: asked, store_ok: told.store_ok, revision };
        state.peers.insert(from.clone(), heard);
        if revision > state.reader.revision() {
            return true;
        }
        if revision == state.reader.revision() && told.confirmed {
            let age = Duration::from_millis(told.age_ms);
            let at = Tick(asked.0.saturating_sub(age.as_micros() as u64));
            state.confirmed = state.confirmed.max(Some(at));
        }
        false
    }

    /// Looks whether more than half of `view` is in the same outage and holds nothing newer.
    pub fn look(&self, me: &MemberId, view: &View, now: Tick) {
        let mut state = self.state.lock();
        state.peers.retain(|id, _| view.contains(id));
        let recent = |heard: &&Heard| now.since(heard.at) < FRESH_FOR;
        let near: Vec<Heard> = state.peers.values().filter(recent).copied().collect();
        let mine = usize::from(view.contains(me));
        let alone = near.iter().all(|heard| !heard.store_ok) && !state.store_ok(now);
        let newest = near.iter().all(|heard| heard.revision <= state.reader.revision());
        if alone && newest && 2 * (near.len() + mine) > view.members.len() {
            state.outage = Some(now);
        }
    }

    /// Takes a configuration that a peer sent, if it is newer.
    pub fn adopt(&self, told: &peer::RegisterResponse) {
        let text = std::str::from_utf8(&told.json).ok();
        let snapshot = text.and_then(|text| Snapshot::from_json(text).ok());
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.revision.0 == told.revision) {
            self.state.lock().take(snapshot);
        }
    }

    /// What a peer that starts during an outage takes over.
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
        self.store.is_some_and(|at| now.since(at) < STORE_SILENCE)
    }

    fn take(&mut self, snapshot: Snapshot) {
        if let Some(register) = self.reader.adopt(snapshot) {
            let revision = register.revision;
            self.register = Some(register);
            // The newer revision has to be confirmed anew.
            self.confirmed = None;
            self.outage = None;
            events::log(Event::RevisionInForce, format_args!("revision={revision}"));
            self.history.record(|| Recorded::RevisionInForce { revision: revision.0 });
        }
    }
}
