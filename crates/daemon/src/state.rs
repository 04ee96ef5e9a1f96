//! What a daemon knows, behind one lock that is never held over an await.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use corianderyoke_adapter::store::Store;
use corianderyoke_coord::dispatch::RetryBudget;
use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::choice::ChoiceSettings;
use corianderyoke_coord::serving::choice::Load;
use corianderyoke_coord::serving::choice::PrefixTracker;
use corianderyoke_coord::serving::demand::DemandRate;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Engines;
use corianderyoke_coord::serving::lease::Lease;
use corianderyoke_coord::serving::lease::LeaseSettings;
use corianderyoke_coord::serving::polling::HolderUpdates;
use corianderyoke_coord::serving::quotas::ColdQuota;
use corianderyoke_coord::serving::quotas::RetryAllowance;
use corianderyoke_coord::serving::residency::Planner;
use corianderyoke_coord::serving::roster::Roster;
use corianderyoke_coord::serving::roster::PEER_TIMEOUT;
use corianderyoke_coord::time::Tick;
use corianderyoke_wire::word::Holder;
use indexmap::IndexMap;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::settings::Settings;

/// What a request at an engine counts as there.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Model that it runs, at a model engine.
    pub model: Option<ModelKey>,
    /// Adapter that it runs.
    pub adapter: Option<AdapterKey>,
    /// Prompt tokens that the engine has to read, until the first event came.
    pub unread: u64,
    /// Tokens of prompt and answer.
    pub tokens: u64,
}

/// What this daemon has running at an engine.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    /// The sums.
    pub load: Load,
    /// Requests by model.
    pub models: IndexMap<ModelKey, u32>,
    /// Requests by adapter; none of them is 0.
    pub adapters: IndexMap<AdapterKey, u32>,
}

/// What another daemon told last.
#[derive(Clone, Debug, Default)]
pub struct PeerWord {
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Number of the word.
    pub number: u64,
    /// When it came.
    pub at: Tick,
    /// What it has running, by engine.
    pub loads: IndexMap<UpstreamKey, Load>,
    /// Whether it has requests that wait for an engine to hold something.
    pub waits: bool,
    /// Requests that it has running, by engine and model.
    pub runs: IndexMap<(UpstreamKey, ModelKey), u32>,
}

/// Requests of this daemon for a model.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelCount {
    /// How often it was asked for.
    pub asked: DemandRate,
    /// Those that wait until an engine holds it.
    pub waiting: u32,
    /// Last time at which either changed.
    pub at: Tick,
}

/// What is known of the operator's rows.
#[derive(Clone, Copy, Debug, Default)]
pub struct OperatorRows {
    /// Version of the store up to which this daemon read them.
    pub read: u64,
    /// Version of the newest row that it or another daemon read.
    pub known: u64,
}

impl OperatorRows {
    /// Whether another daemon read something that this one didn't.
    pub fn is_behind(self) -> bool {
        self.read < self.known
    }
}

/// All shared state.
#[derive(Debug)]
pub struct State {
    /// Desired state in force, once one is known.
    pub desired: Option<Arc<Desired>>,
    /// Operator's rows.
    pub operator: OperatorRows,
    /// Engines.
    pub engines: Engines,
    /// Whether the engines' entries were read since the start.
    pub listed: bool,
    /// Whether the other daemons' rows were read since the start: parts of what the whole fleet may
    /// do depend on its size.
    pub met: bool,
    /// Own requests at the engines.
    pub own: IndexMap<UpstreamKey, OwnLoad>,
    /// What engines have read.
    pub prefixes: PrefixTracker,
    /// Other daemons.
    pub roster: Roster,
    /// Their last words.
    pub words: IndexMap<String, PeerWord>,
    /// Buckets by team name.
    pub caps: IndexMap<String, TeamBucket>,
    /// Retry budgets by service name.
    pub retries: IndexMap<String, RetryBudget>,
    /// Requests to cold engines.
    pub cold: IndexMap<UpstreamKey, ColdQuota>,
    /// Own requests by model.
    pub models: IndexMap<ModelKey, ModelCount>,
    /// Adapters that own requests wait for.
    pub adapters: IndexMap<AdapterKey, (ModelKey, u32)>,
    /// Lease on orders.
    pub lease: Lease,
    /// Plan of orders, in use while the lease is held.
    pub planner: Planner,
    /// Recent changes at the engines, for the other daemons.
    pub effects: Vec<Effect>,
    /// How many changes at engines were told.
    pub told_effects: u64,
    /// What the holder of the lease told of the engines.
    pub told: HolderUpdates,
    /// When the engines' entries were last read.
    pub read: Tick,
    /// The last word of the holder, for the digest.
    pub holder: Option<(String, Holder, Tick)>,
    /// Own totals of teams, and when they changed.
    pub totals: IndexMap<String, (i64, Tick)>,
    /// What all daemons have at each engine, as a relay told.
    pub digest: Option<(IndexMap<UpstreamKey, Load>, Tick)>,
    /// Whether something was heard that a relay should pass on at once.
    pub pass_on: bool,
    /// Whether this daemon hears all others, in a fleet that tells through relays.
    pub relays: bool,
    /// Whether a daemon was heard that needs a list of all others.
    pub introduce: bool,
    /// Whole digests told so far.
    pub digests: u64,
    /// Whether the process was told to stop.
    pub leaving: bool,
    /// Whether it takes no more requests, since it is about to end.
    pub closed: bool,
    /// Open requests of callers.
    pub open: usize,
}

/// What changed at an engine, for daemons that read its entry later.
#[derive(Clone, Copy, Debug)]
pub struct Effect {
    /// The engine.
    pub engine: UpstreamKey,
    /// What changed.
    pub kind: EffectKind,
    /// When it was known.
    pub at: Tick,
    /// Its number among this daemon's.
    pub number: u64,
}

/// A change at an engine.
#[derive(Clone, Copy, Debug)]
pub enum EffectKind {
    /// It leaves, or is gone.
    Leaves,
    /// Its entry changed.
    Listed,
    /// It holds a model now, or takes no more requests for it.
    Model(ModelKey, bool),
    /// It holds an adapter now, or no longer.
    Adapter(ModelKey, AdapterKey, bool),
}

/// What all tasks of a daemon share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Start of the process among those of its instance; see [`crate::joining`].
    pub incarnation: OnceLock<u64>,
    /// The platform's store.
    pub store: Store,
    /// Connections to engines.
    pub pool: Pool,
    /// Counters.
    pub metrics: Metrics,
    /// Figures for the choice of engines.
    pub choice: ChoiceSettings,
    /// Told when engines, routes or loads changed, so that waiting requests look again.
    pub changed: Notify,
    /// Told when the other daemons should hear something at once.
    pub urgent: Notify,
    /// Told when the plan of orders should be looked at.
    pub plan: Notify,
    /// Told when this daemon should read the engines' entries itself.
    pub look: Notify,
    /// Told when another daemon read something of the operator that this one didn't.
    pub behind: Notify,
    state: Mutex<State>,
}

impl Shared {
    /// The state of a daemon that starts.
    pub fn new(settings: Settings, store: Store) -> Arc<Self> {
        let lease = LeaseSettings {
            handover: Duration::from_millis(settings.bounds.handover_ms),
            ..LeaseSettings::default()
        };
        let state = State {
            desired: None,
            operator: OperatorRows::default(),
            engines: Engines::default(),
            listed: false,
            met: false,
            own: IndexMap::new(),
            prefixes: PrefixTracker::default(),
            roster: Roster::default(),
            words: IndexMap::new(),
            caps: IndexMap::new(),
            retries: IndexMap::new(),
            cold: IndexMap::new(),
            models: IndexMap::new(),
            adapters: IndexMap::new(),
            lease: Lease::new(lease, &settings.name),
            planner: Planner::default(),
            effects: Vec::new(),
            told_effects: 0,
            told: HolderUpdates::default(),
            read: Tick(0),
            holder: None,
            totals: IndexMap::new(),
            digest: None,
            pass_on: false,
            relays: false,
            introduce: false,
            digests: 0,
            leaving: false,
            closed: false,
            open: 0,
        };
        Arc::new(Shared {
            settings,
            incarnation: OnceLock::new(),
            store,
            pool: Pool::default(),
            metrics: Metrics::default(),
            choice: ChoiceSettings::default(),
            changed: Notify::new(),
            urgent: Notify::new(),
            plan: Notify::new(),
            look: Notify::new(),
            behind: Notify::new(),
            state: Mutex::new(state),
        })
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.state().is_ready()
    }

    /// Start of the process among those of its instance; 0 until the store told.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get().copied().unwrap_or(0)
    }

    /// The fleet's allowance of retries.
    pub fn retry_allowance(&self) -> RetryAllowance {
        let bounds = &self.settings.bounds;
        RetryAllowance { ratio: bounds.retry_ratio, extra: bounds.retry_extra }
    }
}

impl State {
    /// This daemon's retry budget of a service, for the fleet as it is now.
    pub fn retry_budget(&mut self, shared: &Shared, service: &str) -> &mut RetryBudget {
        let size = self.roster.size();
        let allowance = shared.retry_allowance();
        let budget = self.retries.entry(service.to_owned());
        let budget = budget.or_insert_with(|| allowance.budget(size, shared.settings.first_start));
        budget.set_capacity(allowance.max_saved(size));
        budget
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.desired.is_some() && self.listed && self.met && !self.leaving
    }

    /// Whether this daemon gives orders now.
    pub fn orders(&self, now: Tick) -> bool {
        self.lease.token(now).is_some()
    }

    /// Notes for the other daemons what an engine's entry or its end changed; whether there is
    /// anything to tell.
    pub fn tell_change(&mut self, id: &str, change: Change, at: Tick) -> bool {
        let Some(engine) = self.engines.names.engines.key(id) else { return false };
        let kind = match change {
            Change::Same => return false,
            Change::Left => EffectKind::Leaves,
            Change::Added | Change::Restarted | Change::Cooled | Change::Updated => {
                EffectKind::Listed
            }
        };
        self.tell(engine, kind, at);
        true
    }

    /// Notes a change at an engine for the other daemons.
    pub fn tell(&mut self, engine: UpstreamKey, kind: EffectKind, at: Tick) {
        self.told_effects += 1;
        self.effects.push(Effect { engine, kind, at, number: self.told_effects });
    }

    /// Time since a relay's last digest came.
    pub fn digest_age(&self, now: Tick) -> Duration {
        self.digest.as_ref().map_or(Duration::MAX, |(_, at)| now.since(*at))
    }

    /// What runs at an engine, as far as this daemon knows.
    pub fn load(&self, engine: UpstreamKey, now: Tick) -> Load {
        let heard = self.heard_load(engine, now);
        let digest = self.digest.as_ref().filter(|(_, at)| now.since(*at) < PEER_TIMEOUT);
        let Some(told) = digest.and_then(|(loads, _)| loads.get(&engine)) else { return heard };
        // A digest counts everybody's requests, this daemon's included.
        Load {
            running: heard.running.max(told.running),
            pending_prefill: heard.pending_prefill.max(told.pending_prefill),
            tokens: heard.tokens.max(told.tokens),
        }
    }

    /// What this daemon has at an engine, and those whose words it heard itself.
    pub fn heard_load(&self, engine: UpstreamKey, now: Tick) -> Load {
        let mut sum = self.own.get(&engine).map_or_else(Load::default, |own| own.load);
        for word in self.words.values().filter(|word| word.is_fresh(now)) {
            if let Some(load) = word.loads.get(&engine) {
                sum.running += load.running;
                sum.pending_prefill += load.pending_prefill;
                sum.tokens += load.tokens;
            }
        }
        sum
    }

    /// Requests that run at an engine for a model, as far as daemons told.
    pub fn runs(&self, engine: UpstreamKey, model: ModelKey, now: Tick) -> u32 {
        let own = self.own.get(&engine).and_then(|own| own.models.get(&model)).copied();
        let fresh = self.words.values().filter(|word| word.is_fresh(now));
        let others = fresh.filter_map(|word| word.runs.get(&(engine, model)));
        own.unwrap_or(0) + others.sum::<u32>()
    }
}

impl PeerWord {
    /// Whether what it says about loads still counts.
    pub fn is_fresh(&self, now: Tick) -> bool {
        now.since(self.at) < PEER_TIMEOUT
    }
}

/// Counts a request at an engine until it is dropped.
#[derive(Debug)]
pub struct RunGuard {
    shared: Arc<Shared>,
    engine: UpstreamKey,
    run: Run,
}

impl RunGuard {
    /// Counts `run` at `engine`; `state` is the locked state of `shared`.
    pub fn begin(shared: &Arc<Shared>, state: &mut State, engine: UpstreamKey, run: Run) -> Self {
        let own = state.own.entry(engine).or_default();
        own.load.running += 1;
        own.load.pending_prefill += run.unread;
        own.load.tokens += run.tokens;
        if let Some(model) = run.model {
            *own.models.entry(model).or_default() += 1;
        }
        if let Some(adapter) = run.adapter {
            *own.adapters.entry(adapter).or_default() += 1;
        }
        RunGuard { shared: Arc::clone(shared), engine, run }
    }

    /// The engine has read the prompt.
    pub fn read(&mut self) {
        let unread = std::mem::take(&mut self.run.unread);
        if let Some(own) = self.shared.state().own.get_mut(&self.engine) {
            own.load.pending_prefill = own.load.pending_prefill.saturating_sub(unread);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(own) = state.own.get_mut(&self.engine) {
            own.load.running = own.load.running.saturating_sub(1);
            own.load.pending_prefill = own.load.pending_prefill.saturating_sub(self.run.unread);
            own.load.tokens = own.load.tokens.saturating_sub(self.run.tokens);
            if let Some(model) = self.run.model {
                if let Some(count) = own.models.get_mut(&model) {
                    *count = count.saturating_sub(1);
                }
            }
            if let Some(adapter) = self.run.adapter {
                let count = own.adapters.entry(adapter).or_default();
                *count = count.saturating_sub(1);
                if *count == 0 {
                    own.adapters.swap_remove(&adapter);
                }
            }
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }
}
