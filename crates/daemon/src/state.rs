//! State of a daemon that its tasks share, behind one lock that is never held across an await.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use corianderyoke_adapter::store::Store;
use corianderyoke_coord::dispatch::RetryBudget;
use corianderyoke_coord::keys::AdapterKey;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::admission::Queue;
use corianderyoke_coord::serving::announcements::Announcements;
use corianderyoke_coord::serving::announcements::ChangeKind;
use corianderyoke_coord::serving::announcements::Wants;
use corianderyoke_coord::serving::brittleness::Brittleness;
use corianderyoke_coord::serving::caps::TeamBucket;
use corianderyoke_coord::serving::choice::ChoiceSettings;
use corianderyoke_coord::serving::choice::Load;
use corianderyoke_coord::serving::choice::PrefixTracker;
use corianderyoke_coord::serving::demand::DemandRate;
use corianderyoke_coord::serving::desired::Desired;
use corianderyoke_coord::serving::duties::Duty;
use corianderyoke_coord::serving::duties::Pace;
use corianderyoke_coord::serving::engine_limits::EngineLimits;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::engines::Engines;
use corianderyoke_coord::serving::lease::Lease;
use corianderyoke_coord::serving::lease::LeaseSettings;
use corianderyoke_coord::serving::origins::Origins;
use corianderyoke_coord::serving::polling::HolderUpdates;
use corianderyoke_coord::serving::position::Position;
use corianderyoke_coord::serving::prefixes::Prefixes;
use corianderyoke_coord::serving::quarantine::Quarantine;
use corianderyoke_coord::serving::quarantine::QuarantineSettings;
use corianderyoke_coord::serving::quotas;
use corianderyoke_coord::serving::quotas::ColdQuota;
use corianderyoke_coord::serving::reach::Reach;
use corianderyoke_coord::serving::residency::Planner;
use corianderyoke_coord::serving::roster::Roster;
use corianderyoke_coord::serving::roster::PEER_TIMEOUT;
use corianderyoke_coord::serving::stagger::Slot;
use corianderyoke_coord::serving::telemetry::Telemetry;
use corianderyoke_coord::serving::usage::Usage;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::memory::Memory;
use corianderyoke_wire::word::Holder;
use indexmap::IndexMap;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::origins::OriginRead;
use crate::peers::PeerKeys;
use crate::peers::SpeedIndex;
use crate::pool::Pool;
use crate::settings::Settings;

/// Load that one request puts on an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestLoad {
    /// Model of the request; `None` for a plain service.
    pub model: Option<ModelKey>,
    /// Adapter of the request, if any.
    pub adapter: Option<AdapterKey>,
    /// Prompt tokens still to be prefilled; 0 once the first event arrived.
    pub pending_prefill: u64,
    /// Tokens of the prompt and the expected output.
    pub tokens: u64,
}

/// Requests of this daemon in flight at one engine.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    /// Total over all requests.
    pub load: Load,
    /// Number of requests by model.
    pub models: IndexMap<ModelKey, u32>,
    /// Number of requests by adapter, at least 1 each.
    pub adapters: IndexMap<AdapterKey, u32>,
}

/// Latest report of another daemon.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Incarnation of the reporting process.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub number: u64,
    /// Time of receipt.
    pub received: Tick,
    /// Load of the daemon's requests in flight, by engine.
    pub loads: IndexMap<UpstreamKey, Load>,
    /// What requests wait there for.
    pub wants: Wants,
    /// Number of the latest change that this daemon, as the lease holder, told that daemon.
    pub told_change: u64,
    /// Ends of loads that this daemon, as the lease holder, told that daemon.
    pub told_loads: IndexMap<ModelKey, Tick>,
    /// Requests that the daemon recently sent to engines that name a limit.
    pub limited_sends: IndexMap<UpstreamKey, u32>,
    /// Number of the daemon's requests in flight, by engine and model.
    pub running_requests: IndexMap<(UpstreamKey, ModelKey), u32>,
}

/// Demand of this daemon's callers for a model.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelRequests {
    /// Arrival rate of requests and tokens.
    pub rate: DemandRate,
    /// Number of requests that wait for an engine to load the model.
    pub waiting: u32,
    /// Time of the latest arrival or change of `waiting`.
    pub changed: Tick,
}

/// Positions of the operator's rows in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct OperatorRows {
    /// Position up to which this daemon has read them.
    pub read: Position,
    /// Position up to which a daemon must have read them to have the newest row that any daemon is
    /// known to have.
    pub known: Position,
}

impl OperatorRows {
    /// Returns whether another daemon has read a row that this one hasn't.
    pub fn is_behind(self) -> bool {
        self.read < self.known
    }
}

/// Time for which a daemon that starts waits for a revision that others have in force. Beyond it,
/// the operator isn't expected to write it again.
const REVISION_TIMEOUT: Duration = Duration::from_secs(10);

/// Revisions of the desired state at other daemons, until this daemon has caught up with them once.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetRevision {
    /// Highest revision that another daemon reported.
    highest: u64,
    /// Time of the first report of a higher revision than this daemon's.
    behind_since: Option<Tick>,
    /// Whether this daemon has caught up, or waited long enough.
    caught_up: bool,
}

impl FleetRevision {
    /// Records the revision in force at another daemon, given that of this one's desired state.
    pub fn record(&mut self, reported: u64, own: u64, now: Tick) {
        self.highest = self.highest.max(reported);
        if reported == 0 || own == 0 || self.caught_up {
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        self.caught_up = own >= self.highest || now.since(since) > REVISION_TIMEOUT;
    }

    fn permits(&self, revision: u64) -> bool {
        self.caught_up || revision >= self.highest
    }
}

/// State behind the lock of [`Shared`].
#[derive(Debug)]
pub struct State {
    /// Latest desired state; `None` until one was read. See [`State::desired_in_force`].
    pub desired: Option<Arc<Desired>>,
    /// Position of its row.
    pub desired_position: Position,
    /// Revisions of the desired state at other daemons.
    pub fleet_revision: FleetRevision,
    /// Era of the store; `None` until a table was read.
    pub era: Option<u64>,
    /// Positions of the operator's rows.
    pub operator: OperatorRows,
    /// Known engines and the models that they hold.
    pub engines: Engines,
    /// Whether the engines' entries were read at least once since the process started.
    pub engines_read: bool,
    /// Whether the other daemons' rows were read at least once since the process started. This
    /// daemon's share of the fleet-wide limits depends on the size of the fleet.
    pub peers_read: bool,
    /// This daemon's requests in flight, by engine.
    pub own_loads: IndexMap<UpstreamKey, OwnLoad>,
    /// Requests that wait for a place at an engine.
    pub queue: Queue,
    /// Prompt prefixes that the engines have cached.
    pub prefixes: PrefixTracker,
    /// The same by the engines' memory, if `prefix_weight` is set.
    pub cached: Prefixes,
    /// What responses have shown about the load and speed of engines.
    pub telemetry: Telemetry,
    /// Engines by the hashes in messages that tell their speeds.
    pub speed_index: SpeedIndex,
    /// Requests and parts of prompts that crash engines.
    pub quarantine: Quarantine,
    /// Services whose engines fall over when they turn many requests away.
    pub brittleness: Brittleness,
    /// Releases that began streams.
    pub origins: Origins,
    /// Whether this daemon reaches the engines.
    pub reach: Reach,
    /// Other daemons of the fleet.
    pub roster: Roster,
    /// Latest report of each other daemon, by name.
    pub reports: IndexMap<String, PeerReport>,
    /// Token buckets of the teams' rate limits, by team name.
    pub team_buckets: IndexMap<String, TeamBucket>,
    /// This daemon's retry budgets, by service name.
    pub retry_budgets: IndexMap<String, RetryBudget>,
    /// This daemon's quotas of requests to cold engines.
    pub cold_quotas: IndexMap<UpstreamKey, ColdQuota>,
    /// Limits that engines name on the requests of all daemons.
    pub engine_limits: EngineLimits,
    /// Demand of this daemon's callers, by model.
    pub model_requests: IndexMap<ModelKey, ModelRequests>,
    /// Adapters that this daemon's requests wait for, with the model and the number of requests.
    pub wanted_adapters: IndexMap<AdapterKey, (ModelKey, u32)>,
    /// State of the lease that permits orders to engines.
    pub lease: Lease,
    /// Planner of orders, which acts only while this daemon holds the lease.
    pub planner: Planner,
    /// Models that are being loaded, with the times at which the loads are expected to end.
    pub expected_loads: IndexMap<ModelKey, Tick>,
    /// Recent changes of engines, announced to the other daemons.
    pub announcements: Announcements,
    /// Announcements received from the lease holder.
    pub holder_updates: HolderUpdates,
    /// Time of the latest successful poll of the engines' entries.
    pub last_poll: Tick,
    /// Latest announcement of the lease holder, with its name and time of receipt, for the digest.
    pub holder_report: Option<(String, Holder, Tick)>,
    /// Tokens that this daemon admitted by team, and when that total last changed.
    pub team_totals: IndexMap<String, (i64, Tick)>,
    /// Load of the whole fleet by engine, from the latest digest, and its time of receipt.
    pub load_digest: Option<(IndexMap<UpstreamKey, Load>, Tick)>,
    /// Whether this daemon must send its next report without delay.
    pub report_pending: bool,
    /// Whether a report arrived that a relay must forward without delay.
    pub relay_pending: bool,
    /// Whether this daemon is a relay, which receives the reports of all others.
    pub is_relay: bool,
    /// Time since which each digest listed a daemon that this one doesn't know.
    pub unknown_since: Option<Tick>,
    /// Whether the process received the signal to stop.
    pub leaving: bool,
    /// Time at which the process exits at the latest, once it received that signal.
    pub exit_at: Option<Tick>,
    /// Whether the process is about to exit with requests in progress.
    pub exiting: bool,
    /// Whether the process accepts no more requests because it is about to exit.
    pub closed: bool,
    /// Number of callers' requests in progress.
    pub open_requests: usize,
    /// Counts of requests and reports of them; `None` if usage isn't reported.
    pub usage: Option<Usage>,
    /// Pace of the calls of all duties.
    pub pace: Pace,
    /// Highest token with which a call was refused because of a higher fence; 0 if none was.
    pub fenced_token: u64,
}

/// Resources and state that all tasks of a daemon share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process, fixed until its next start.
    pub settings: Settings,
    /// Incarnation of the process; unset until the store was read. See [`crate::joining`].
    pub incarnation: OnceLock<u64>,
    /// Client of the platform's store.
    pub store: Store,
    /// Idle connections to engines.
    pub pool: Pool,
    /// Memory and connections that are held for callers.
    pub memory: Arc<Memory>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Parameters of the choice of engines.
    pub choice: ChoiceSettings,
    /// Notified when engines, routes or loads changed, so that waiting requests retry the choice.
    pub changed: Notify,
    /// Notified when something was quarantined, so that the requests concerned are given up.
    pub quarantined: Notify,
    /// Notified when a message to other daemons may be due before the regular interval is over.
    pub report_now: Notify,
    /// Notified when the planner must run again.
    pub replan: Notify,
    /// Notified when the interval until the next poll of the engines' entries may have changed.
    pub recheck_poll: Notify,
    /// Notified when another daemon has read an operator's row that this one hasn't.
    pub operator_behind: Notify,
    /// Notified when this daemon no longer hears the lease holder.
    pub holder_silent: Notify,
    /// Notified when the rows of all daemons must be read because one of them is unknown.
    pub unknown_peer: Notify,
    /// Notified when the process is about to exit. See [`Shared::exiting`].
    pub exit: Notify,
    /// Notified when the store came back from an older copy.
    pub restored: Notify,
    /// Notified when engines may be out of reach.
    pub reach_doubted: Notify,
    /// Notified when engines are out of reach or reached again.
    pub reach_changed: Notify,
    /// Notified when this daemon may have to write the releases and streams of the store.
    pub origins_due: Notify,
    /// Latest read of the origins of streams from the store.
    pub origin_reads: tokio::sync::Mutex<OriginRead>,
    /// Keys that authenticate datagrams between daemons.
    pub peer_keys: Mutex<PeerKeys>,
    state: Mutex<State>,
}

impl Shared {
    /// Creates the state of a daemon that starts.
    pub fn new(settings: Settings, store: Store) -> Arc<Self> {
        let lease = LeaseSettings {
            first_start: settings.first_start,
            handover: settings.bounds.handover(),
            ..LeaseSettings::default()
        };
        let has_usage = settings.duties.has(Duty::Usage);
        let usage = has_usage.then(|| Usage::new(settings.bounds.usage(settings.first_start)));
        let memory = Memory::new(settings.limits());
        let state = State {
            desired: None,
            desired_position: Position::default(),
            fleet_revision: FleetRevision::default(),
            era: None,
            operator: OperatorRows::default(),
            engines: Engines::default(),
            engines_read: false,
            peers_read: false,
            own_loads: IndexMap::new(),
            queue: Queue::default(),
            prefixes: PrefixTracker::default(),
            cached: Prefixes::default(),
            telemetry: Telemetry::default(),
            speed_index: SpeedIndex::default(),
            quarantine: Quarantine::new(QuarantineSettings::default()),
            brittleness: Brittleness::default(),
            origins: Origins::default(),
            reach: Reach::default(),
            roster: Roster::default(),
            reports: IndexMap::new(),
            team_buckets: IndexMap::new(),
            retry_budgets: IndexMap::new(),
            cold_quotas: IndexMap::new(),
            engine_limits: EngineLimits::default(),
            model_requests: IndexMap::new(),
            wanted_adapters: IndexMap::new(),
            lease: Lease::new(lease, &settings.name),
            planner: Planner::default(),
            expected_loads: IndexMap::new(),
            announcements: Announcements::default(),
            holder_updates: HolderUpdates::default(),
            last_poll: Tick(0),
            holder_report: None,
            team_totals: IndexMap::new(),
            load_digest: None,
            report_pending: false,
            relay_pending: false,
            is_relay: false,
            unknown_since: None,
            leaving: false,
            exit_at: None,
            exiting: false,
            closed: false,
            open_requests: 0,
            usage,
            pace: Pace::new(settings.duties.calls_per_s),
            fenced_token: 0,
        };
        let default = ChoiceSettings::default();
        let cross_zone_ms = settings.zone_cost_ms.unwrap_or(default.cross_zone_ms);
        let choice = ChoiceSettings { cross_zone_ms, ..default };
        Arc::new(Shared {
            settings,
            incarnation: OnceLock::new(),
            store,
            pool: Pool::default(),
            memory,
            metrics: Metrics::default(),
            choice,
            changed: Notify::new(),
            quarantined: Notify::new(),
            report_now: Notify::new(),
            replan: Notify::new(),
            recheck_poll: Notify::new(),
            operator_behind: Notify::new(),
            holder_silent: Notify::new(),
            unknown_peer: Notify::new(),
            exit: Notify::new(),
            restored: Notify::new(),
            reach_doubted: Notify::new(),
            reach_changed: Notify::new(),
            origins_due: Notify::new(),
            origin_reads: tokio::sync::Mutex::default(),
            peer_keys: Mutex::default(),
            state: Mutex::new(state),
        })
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Returns whether callers may be sent to this daemon.
    pub fn is_ready(&self) -> bool {
        self.state().is_ready()
    }

    /// Waits until the process is about to exit.
    pub async fn exiting(&self) {
        loop {
            let exit = self.exit.notified();
            if self.state().exiting {
                return;
            }
            exit.await;
        }
    }

    /// Returns the incarnation of the process; 0 until the store was read.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get().copied().unwrap_or(0)
    }

    /// Makes this daemon send its next report without delay. `state` is the locked state.
    pub fn report_soon(&self, state: &mut State) {
        state.report_pending = true;
        self.report_now.notify_one();
    }

    /// Returns this daemon's rank among the fleet for a subject, which all daemons agree on.
    /// `state` is the locked state.
    pub fn rank(&self, state: &State, subject: &str) -> usize {
        let peers = state.roster.known().map(|daemon| daemon.name.as_str());
        quotas::rank(subject, &self.settings.name, peers)
    }

    /// Returns this daemon's slot among the fleet for a subject. See [`Self::rank`].
    pub fn slot(&self, subject: &str) -> Slot {
        let state = self.state();
        Slot { rank: self.rank(&state, subject), size: state.roster.size() }
    }
}

impl State {
    /// Counts a request that an engine ran for a team, if usage is reported.
    pub fn count_run(&mut self, team: Option<&str>, now: Tick) {
        if let (Some(usage), Some(team)) = (&mut self.usage, team) {
            usage.count(team, now);
        }
    }

    /// Returns this daemon's retry budget for a service, sized by the current fleet, or `None` if
    /// retries are unlimited.
    pub fn retry_budget(&mut self, shared: &Shared, service: &str) -> Option<&mut RetryBudget> {
        let size = self.roster.size();
        let allowance = shared.settings.bounds.retry_allowance()?;
        let budget = self.retry_budgets.entry(service.to_owned());
        let budget = budget.or_insert_with(|| allowance.budget(size, shared.settings.first_start));
        budget.set_capacity(allowance.max_saved(size));
        Some(budget)
    }

    /// Returns whether callers may be sent to this daemon.
    pub fn is_ready(&self) -> bool {
        self.desired_in_force().is_some() && self.engines_read && self.peers_read && !self.leaving
    }

    /// Returns whether a request that may take until `deadline` may outlast the process.
    pub fn may_outlast(&self, deadline: Tick) -> bool {
        self.exit_at.is_some_and(|exit_at| deadline > exit_at)
    }

    /// Returns the desired state by which requests are handled. A daemon that starts on a restored
    /// store has none while it knows only an older revision than the others.
    pub fn desired_in_force(&self) -> Option<&Arc<Desired>> {
        self.desired.as_ref().filter(|desired| self.fleet_revision.permits(desired.revision))
    }

    /// Returns the revision of the desired state in force; 0 if there is none.
    pub fn revision_in_force(&self) -> u64 {
        self.desired_in_force().map_or(0, |desired| desired.revision)
    }

    /// Returns whether this daemon holds the lease and may send orders.
    pub fn holds_lease(&self, now: Tick) -> bool {
        self.lease.token(now).is_some()
    }

    /// Returns the age of the latest read of the engines' entries, by this daemon or the lease holder.
    pub fn entries_age(&self, now: Tick) -> Duration {
        let own = now.since(self.last_poll);
        self.holder_updates.read_age(now).map_or(own, |age| age.min(own))
    }

    /// Queues the change of an engine's entry for announcement to the other daemons. Returns
    /// whether there is anything to announce.
    pub fn announce_change(&mut self, id: &str, change: Change, at: Tick) -> bool {
        let Some(engine) = self.engines.names.engines.key(id) else { return false };
        let kind = match change {
            Change::Same => return false,
            Change::Left => ChangeKind::Leaving,
            Change::Added | Change::Restarted | Change::Cooled | Change::Updated => {
                ChangeKind::Updated
            }
        };
        self.announcements.record(engine, kind, at);
        true
    }

    /// Returns the age of the latest digest with loads; [`Duration::MAX`] if there was none.
    pub fn digest_age(&self, now: Tick) -> Duration {
        self.load_digest.as_ref().map_or(Duration::MAX, |(_, at)| now.since(*at))
    }

    /// Returns the number of this daemon's requests in flight at an engine.
    pub fn own_running(&self, engine: UpstreamKey) -> u32 {
        self.own_loads.get(&engine).map_or(0, |own| own.load.running)
    }

    /// Returns the load of an engine, estimated from own requests, reports and digests.
    pub fn load(&self, engine: UpstreamKey, now: Tick) -> Load {
        let reported = self.reported_load(engine, now);
        let digest = self.load_digest.as_ref().filter(|(_, at)| now.since(*at) < PEER_TIMEOUT);
        let Some(digested) = digest.and_then(|(loads, _)| loads.get(&engine)) else {
            return reported;
        };
        // A digest covers the requests of all daemons, including this one, so the two aren't added.
        Load {
            running: reported.running.max(digested.running),
            pending_prefill: reported.pending_prefill.max(digested.pending_prefill),
            tokens: reported.tokens.max(digested.tokens),
        }
    }

    /// Returns the load of an engine from own requests and reports received directly.
    pub fn reported_load(&self, engine: UpstreamKey, now: Tick) -> Load {
        let mut sum = self.own_loads.get(&engine).map_or_else(Load::default, |own| own.load);
        for report in self.reports.values().filter(|report| report.is_fresh(now)) {
            if let Some(load) = report.loads.get(&engine) {
                sum.add(*load);
            }
        }
        sum
    }

    /// Returns the number of requests that the other daemons recently sent to an engine that names a
    /// limit. `None` if one of them wasn't heard.
    pub fn limited_sends(&self, engine: UpstreamKey, now: Tick) -> Option<usize> {
        let fresh: Vec<&PeerReport> =
            self.reports.values().filter(|report| report.is_fresh(now)).collect();
        let sent = fresh.iter().filter_map(|report| report.limited_sends.get(&engine));
        (fresh.len() + 1 >= self.roster.size()).then(|| sent.map(|&count| count as usize).sum())
    }

    /// Returns the numbers of requests in flight by engine and model, from own requests and reports.
    pub fn running_requests(&self, now: Tick) -> IndexMap<(UpstreamKey, ModelKey), u32> {
        let mut sums: IndexMap<(UpstreamKey, ModelKey), u32> = IndexMap::new();
        for (&engine, own) in &self.own_loads {
            for (&model, &count) in own.models.iter().filter(|(_, count)| **count > 0) {
                *sums.entry((engine, model)).or_default() += count;
            }
        }
        for report in self.reports.values().filter(|report| report.is_fresh(now)) {
            for (&key, &count) in &report.running_requests {
                let sum = sums.entry(key).or_default();
                *sum = sum.saturating_add(count);
            }
        }
        sums
    }
}

impl PeerReport {
    /// Returns whether the report is recent enough for its loads to count.
    pub fn is_fresh(&self, now: Tick) -> bool {
        now.since(self.received) < PEER_TIMEOUT
    }
}

/// Counts a request as in flight at an engine until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    shared: Arc<Shared>,
    engine: UpstreamKey,
    load: RequestLoad,
}

impl LoadGuard {
    /// Adds `load` to the load of `engine`. `state` is the locked state of `shared`.
    pub fn begin(
        shared: &Arc<Shared>,
        state: &mut State,
        engine: UpstreamKey,
        load: RequestLoad,
    ) -> Self {
        let own = state.own_loads.entry(engine).or_default();
        let RequestLoad { pending_prefill, tokens, .. } = load;
        own.load.add(Load { running: 1, pending_prefill, tokens });
        if let Some(model) = load.model {
            *own.models.entry(model).or_default() += 1;
        }
        if let Some(adapter) = load.adapter {
            *own.adapters.entry(adapter).or_default() += 1;
        }
        LoadGuard { shared: Arc::clone(shared), engine, load }
    }

    /// Removes the request's prompt tokens from the pending prefill.
    pub fn finish_prefill(&mut self) {
        let pending_prefill = std::mem::take(&mut self.load.pending_prefill);
        if let Some(own) = self.shared.state().own_loads.get_mut(&self.engine) {
            own.load.pending_prefill = own.load.pending_prefill.saturating_sub(pending_prefill);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(own) = state.own_loads.get_mut(&self.engine) {
            own.load.running = own.load.running.saturating_sub(1);
            own.load.pending_prefill =
                own.load.pending_prefill.saturating_sub(self.load.pending_prefill);
            own.load.tokens = own.load.tokens.saturating_sub(self.load.tokens);
            if let Some(model) = self.load.model {
                if let Some(count) = own.models.get_mut(&model) {
                    *count = count.saturating_sub(1);
                }
            }
            if let Some(adapter) = self.load.adapter {
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
