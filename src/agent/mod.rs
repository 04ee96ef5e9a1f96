//! What every daemon embeds: its membership, its peers and the configuration in force.
//!
//! [`Agent`] drives the membership state machine of the coordination library: [`store`] carries
//! its accesses to the platform out, [`convert`] puts its messages into their wire form, and
//! [`drive`] holds the loops. [`config`] keeps the newest revision and knows how long ago it was
//! confirmed to be the head. Calls that aren't about membership go to the daemon's [`Service`].
//!
//! Lock order: the machine's lock before the configuration's; neither is held over an await.

pub mod config;
pub mod convert;
pub mod drive;
pub mod settings;
pub mod store;
pub mod traced;
pub mod traffic;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use async_trait::async_trait;
use corianderyoke_coord::membership::HomeState;
use corianderyoke_coord::membership::Kind;
use corianderyoke_coord::membership::Machine;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::membership::MemberRow;
use corianderyoke_coord::membership::Role;
use corianderyoke_coord::membership::RowState;
use corianderyoke_coord::membership::View;
use corianderyoke_coord::register::Register;
use corianderyoke_history::Recorder;
use corianderyoke_platform::Platform;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use corianderyoke_wire::peer::response::Body as Answer;
use corianderyoke_wire::Fingerprint;
use corianderyoke_wire::Identity;
use corianderyoke_wire::PeerAddr;
use corianderyoke_wire::Transport;
use corianderyoke_wire::Trust;
use indexmap::IndexSet;
use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::random;
use tokio::sync::Notify;

use self::config::Config;
pub use self::settings::Settings;
use crate::util::clock;

/// Errors of the agent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peers' address can't be used.
    #[error("failed to listen for peers on {address}; choose a free UDP address: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the transport said.
        cause: corianderyoke_wire::Error,
    },
    /// The member isn't known, or its row has no usable address.
    #[error("member {0} isn't known here; wait for the next view")]
    NoMember(String),
    /// The call to a member failed.
    #[error("failed to call a member: {0}")]
    Call(#[from] corianderyoke_wire::Error),
    /// The member refused to handle the call.
    #[error("the member refused the call: {0}")]
    Refused(String),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Answers the calls of other members that aren't about membership.
#[async_trait]
pub trait Service: Send + Sync {
    /// Answers one call; `None` for a call that this daemon doesn't take.
    async fn answer(&self, from: &MemberId, call: Call) -> Option<Answer>;

    /// This process was removed and is about to join as a new incarnation: whatever the old one
    /// held or was the home of is lost, and nothing may be decided by it any more.
    fn rejoining(&self);
}

/// What the log has told of this member's standing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Standing {
    /// Whether it is in a view.
    pub(crate) member: bool,
    /// Whether its term is live.
    pub(crate) acting: bool,
    /// Whether its configuration is confirmed.
    pub(crate) fresh: bool,
}

/// A router as the members' table has it, for the entry list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterRow {
    /// Member name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: String,
    /// Whether it says that it can serve.
    pub ready: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// One daemon's part in the cell.
pub struct Agent {
    pub(crate) settings: Settings,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) machine: Mutex<Machine>,
    pub(crate) config: Config,
    pub(crate) trust: Trust,
    pub(crate) transport: RwLock<Option<Transport>>,
    pub(crate) service: OnceLock<Arc<dyn Service>>,
    /// Upstream instances that the platform says are leaving.
    pub(crate) leaving: RwLock<IndexSet<String>>,
    /// What the log has told.
    pub(crate) told: Mutex<Standing>,
    /// Told when the machine has ended.
    pub(crate) ended: Notify,
    /// Told to fetch the configuration now.
    pub(crate) fetch: Notify,
}

impl Agent {
    /// An agent that listens for peers; it joins once [`Agent::run`] is called.
    ///
    /// # Errors
    ///
    /// The peers' address can't be used.
    pub fn bind(settings: Settings, platform: Arc<dyn Platform>) -> Result<Arc<Agent>> {
        let row = Agent::row(&settings, &Fingerprint([0; 32]));
        let machine = Machine::new(settings.membership, &settings.name, row, clock::now());
        let address = settings.peers;
        let history = settings.history.clone();
        let agent = Arc::new(Agent {
            settings,
            platform,
            machine: Mutex::new(machine),
            config: Config::new(history),
            trust: Trust::default(),
            transport: RwLock::new(None),
            service: OnceLock::new(),
            leaving: RwLock::default(),
            told: Mutex::default(),
            ended: Notify::new(),
            fetch: Notify::new(),
        });
        agent.listen(address)?;
        Ok(agent)
    }

    /// Listens for peers with a new certificate, and starts over as a new incarnation.
    fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<()> {
        let failed = |cause| Error::Listen { address, cause };
        let identity = Identity::generate().map_err(failed)?;
        let fingerprint = identity.fingerprint();
        let handler = Arc::new(drive::Incoming { agent: Arc::downgrade(self) });
        let transport =
            Transport::bind(address, identity, self.trust.clone(), handler).map_err(failed)?;
        let bound = transport.addr().map_err(failed)?;
        let settings = Settings { peers: bound, ..self.settings.clone() };
        let row = Agent::row(&settings, &fingerprint);
        let machine = Machine::new(settings.membership, &settings.name, row, clock::now());
        // The old machine has ended, so nothing acts between the two.
        if let Some(service) = self.service.get() {
            service.rejoining();
        }
        *self.machine.lock() = machine;
        *self.transport.write() = Some(transport);
        Ok(())
    }

    fn row(settings: &Settings, fingerprint: &Fingerprint) -> MemberRow {
        MemberRow {
            incarnation: random(),
            renewal: 0,
            role: settings.role,
            zone: settings.zone.clone(),
            peer_addr: settings.peers.to_string(),
            caller_addr: settings.callers.clone(),
            ops_addr: settings.operators.clone(),
            fingerprint: fingerprint.to_string(),
            state: RowState::Joining,
            epoch: 0,
            clear: true,
        }
    }

    /// Name of the cell.
    pub fn cell(&self) -> &str {
        &self.settings.cell
    }

    /// The incarnation that the member table has under a name.
    pub fn incarnation_of(&self, name: &str) -> Option<u64> {
        let machine = self.machine.lock();
        let mut rows = machine.rows();
        rows.find(|(found, _)| *found == name).map(|(_, stored)| stored.row.incarnation)
    }

    /// Where events of the run are recorded.
    pub fn history(&self) -> &Recorder {
        &self.settings.history
    }

    /// This process's member identity.
    pub fn id(&self) -> MemberId {
        self.machine.lock().id().clone()
    }

    /// The newest view known; an empty one before any.
    pub fn view(&self) -> Arc<View> {
        self.machine.lock().view().cloned().unwrap_or_default()
    }

    /// Whether this member's term is live.
    pub fn may_act(&self) -> bool {
        self.machine.lock().may_act(clock::now())
    }

    /// The state of one home as this member sees it.
    pub fn home_state(&self, kind: Kind, name: &str) -> HomeState {
        self.machine.lock().home_state(kind, name)
    }

    /// The member that owns a thing in the newest view.
    pub fn owner(&self, kind: Kind, name: &str) -> Option<MemberId> {
        self.machine.lock().owner(kind, name).map(|member| member.id.clone())
    }

    /// The register in force.
    pub fn config(&self) -> Option<Arc<Register>> {
        self.config.register()
    }

    /// Whether the register in force was confirmed lately enough to decide by it.
    pub fn config_fresh(&self) -> bool {
        self.config.fresh(clock::now())
    }

    /// Whether the platform says that the upstream's instance is leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.leaving.read().contains(upstream)
    }

    /// Routers by their rows, those in the view only.
    pub fn routers(&self) -> Vec<RouterRow> {
        let machine = self.machine.lock();
        let Some(view) = machine.view() else {
            return Vec::new();
        };
        let routers = view.members.iter().filter(|member| member.role == Role::Router);
        let rows = routers.filter_map(|member| {
            let row = machine.row_of(&member.id)?;
            Some(RouterRow {
                name: member.id.name.clone(),
                zone: row.zone.clone(),
                callers: row.caller_addr.clone(),
                ready: row.state == RowState::Ready,
                leaving: row.state == RowState::Leaving,
            })
        });
        rows.collect()
    }

    /// Calls another member.
    ///
    /// # Errors
    ///
    /// The member isn't known, the call fails, or the member refuses it.
    pub async fn call(&self, member: &MemberId, call: Call, limit: Duration) -> Result<Answer> {
        let peer = self.machine.lock().row_of(member).and_then(peer_addr);
        let peer = peer.ok_or_else(|| Error::NoMember(member.name.clone()))?;
        self.exchange(&peer, call, limit).await
    }

    pub(crate) async fn exchange(
        &self,
        peer: &PeerAddr,
        call: Call,
        limit: Duration,
    ) -> Result<Answer> {
        let transport = self.transport.read().clone();
        let transport = transport.ok_or_else(|| Error::NoMember(peer.addr.to_string()))?;
        let request = peer::Request { body: Some(call) };
        match transport.call(peer, request, limit).await?.body {
            Some(Answer::Refused(refused)) => Err(Error::Refused(refused.reason)),
            Some(answer) => Ok(answer),
            None => Err(Error::Refused("the answer is empty".to_owned())),
        }
    }
}

/// Where a member answers, by its row.
pub(crate) fn peer_addr(row: &MemberRow) -> Option<PeerAddr> {
    let addr = row.peer_addr.parse().ok()?;
    let fingerprint = row.fingerprint.parse().ok()?;
    Some(PeerAddr { addr, fingerprint })
}
