//! The agent that every daemon embeds: membership, calls to peers and the configuration in force.
//!
//! [`Agent`] drives the membership state machine of the coordination library: [`store`] performs
//! its accesses to the platform, [`convert`] converts its messages to their wire form, and
//! [`drive`] holds the background loops. [`config`] holds the newest revision and the time at which
//! it was confirmed as the head. Calls that aren't about membership go to the daemon's [`Service`].
//!
//! Lock order: the machine before the configuration. No lock is held across an await.

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
    /// Binding the address for peers failed.
    #[error("failed to listen for peers on {address}; choose a free UDP address: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The transport's error.
        cause: corianderyoke_wire::Error,
    },
    /// The member isn't known, or its row has no usable address.
    #[error("member {0} isn't known here; wait for the next view")]
    UnknownMember(String),
    /// The call to a member failed.
    #[error("failed to call a member: {0}")]
    Call(#[from] corianderyoke_wire::Error),
    /// The member rejected the call, or its response is empty.
    #[error("the member refused the call: {0}")]
    Refused(String),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Handles the calls of other members that aren't about membership.
#[async_trait]
pub trait Service: Send + Sync {
    /// Handles one call; `None` for a call that this daemon doesn't support.
    async fn answer(&self, from: &MemberId, call: Call) -> Option<Answer>;

    /// Called when this process was removed from the view and is about to join as a new
    /// incarnation. All claims and homes of the old one are lost, and the service must make no
    /// decision based on them any more.
    fn rejoining(&self);
}

/// This member's status as last logged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LoggedStatus {
    /// Whether it is in a view.
    pub(crate) member: bool,
    /// Whether its lease is valid.
    pub(crate) acting: bool,
    /// Whether its configuration is confirmed.
    pub(crate) fresh: bool,
}

/// A router in the member table, for the entry list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterRow {
    /// Member name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: String,
    /// Whether it reports that it can serve callers.
    pub ready: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Addresses at which a daemon serves others than its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Addresses {
    /// Address for callers as `ip:port`; empty if the daemon serves none.
    pub callers: String,
    /// Address for operators as `ip:port`.
    pub operators: String,
}

/// A daemon's membership in the cell.
pub struct Agent {
    pub(crate) settings: Settings,
    addresses: OnceLock<Addresses>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) machine: Mutex<Machine>,
    pub(crate) config: Config,
    pub(crate) trust: Trust,
    pub(crate) transport: RwLock<Option<Transport>>,
    pub(crate) service: OnceLock<Arc<dyn Service>>,
    /// Instances that the platform's list marks as leaving.
    pub(crate) leaving: RwLock<IndexSet<String>>,
    /// The status that was last logged.
    pub(crate) logged: Mutex<LoggedStatus>,
    /// Notified when the machine has ended.
    pub(crate) ended: Notify,
    /// Makes the configuration loop fetch at once.
    pub(crate) fetch_config: Notify,
}

impl Agent {
    /// Creates an agent that listens for peers; it joins once [`Agent::run`] is called.
    ///
    /// # Errors
    ///
    /// Fails if the address for peers can't be bound.
    pub fn bind(settings: Settings, platform: Arc<dyn Platform>) -> Result<Arc<Agent>> {
        let fingerprint = Fingerprint([0; 32]);
        let row = Agent::member_row(&settings, &Addresses::default(), &fingerprint);
        let machine = Machine::new(settings.membership, &settings.name, row, clock::now());
        let address = settings.peers;
        let history = settings.history.clone();
        let agent = Arc::new(Agent {
            settings,
            addresses: OnceLock::new(),
            platform,
            machine: Mutex::new(machine),
            config: Config::new(history),
            trust: Trust::default(),
            transport: RwLock::new(None),
            service: OnceLock::new(),
            leaving: RwLock::default(),
            logged: Mutex::default(),
            ended: Notify::new(),
            fetch_config: Notify::new(),
        });
        agent.listen(address)?;
        Ok(agent)
    }

    /// Sets the addresses that this daemon's row tells others. Must be called before [`Agent::run`],
    /// once the servers listen; later calls have no effect.
    pub fn set_addresses(&self, addresses: Addresses) {
        let Addresses { callers, operators } = self.addresses.get_or_init(|| addresses);
        self.machine.lock().set_addresses(callers, operators);
    }

    /// Listens for peers with a new certificate and starts a new machine, as a new incarnation.
    fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<()> {
        let listen_error = |cause| Error::Listen { address, cause };
        let identity = Identity::generate().map_err(listen_error)?;
        let fingerprint = identity.fingerprint();
        let handler = Arc::new(drive::Incoming { agent: Arc::downgrade(self) });
        let transport = Transport::bind(address, identity, self.trust.clone(), handler)
            .map_err(listen_error)?;
        let bound = transport.addr().map_err(listen_error)?;
        let settings = Settings { peers: bound, ..self.settings.clone() };
        let addresses = self.addresses.get().cloned().unwrap_or_default();
        let row = Agent::member_row(&settings, &addresses, &fingerprint);
        let machine = Machine::new(settings.membership, &settings.name, row, clock::now());
        // The old machine has ended, so no incarnation holds a lease in between.
        if let Some(service) = self.service.get() {
            service.rejoining();
        }
        *self.machine.lock() = machine;
        *self.transport.write() = Some(transport);
        Ok(())
    }

    fn member_row(
        settings: &Settings,
        addresses: &Addresses,
        fingerprint: &Fingerprint,
    ) -> MemberRow {
        MemberRow {
            incarnation: random(),
            renewal: 0,
            role: settings.role,
            zone: settings.zone.clone(),
            peer_addr: settings.peers.to_string(),
            caller_addr: addresses.callers.clone(),
            ops_addr: addresses.operators.clone(),
            fingerprint: fingerprint.to_string(),
            state: RowState::Joining,
            epoch: 0,
            clear: true,
        }
    }

    /// Makes the configuration loop read the store now instead of at its next poll.
    pub fn refresh_configuration(&self) {
        self.fetch_config.notify_one();
    }

    /// Name of the cell.
    pub fn cell(&self) -> &str {
        &self.settings.cell
    }

    /// The incarnation of the named member in the member table; `None` if it has no row.
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

    /// The newest view known; an empty one if there is none yet.
    pub fn view(&self) -> Arc<View> {
        self.machine.lock().view().cloned().unwrap_or_default()
    }

    /// Whether this process is a member with a valid lease.
    pub fn may_act(&self) -> bool {
        self.machine.lock().may_act(clock::now())
    }

    /// State of a resource's home as this member sees it.
    pub fn home_state(&self, kind: Kind, name: &str) -> HomeState {
        self.machine.lock().home_state(kind, name)
    }

    /// The member that owns a resource in the newest view; `None` without a view or a candidate.
    pub fn owner(&self, kind: Kind, name: &str) -> Option<MemberId> {
        self.machine.lock().owner(kind, name).map(|member| member.id.clone())
    }

    /// The register in force; `None` if there is none yet.
    pub fn config(&self) -> Option<Arc<Register>> {
        self.config.register()
    }

    /// Whether the register in force was confirmed recently enough to make decisions by it.
    pub fn config_fresh(&self) -> bool {
        self.config.is_fresh(clock::now())
    }

    /// Whether the platform's list marks the upstream's instance as leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        self.leaving.read().contains(upstream)
    }

    /// The routers in the view that have a row in the member table.
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
    /// Fails if the member isn't known, the call fails, or the member rejects it.
    pub async fn call(&self, member: &MemberId, call: Call, timeout: Duration) -> Result<Answer> {
        let peer = self.machine.lock().row_of(member).and_then(peer_addr);
        let peer = peer.ok_or_else(|| Error::UnknownMember(member.name.clone()))?;
        self.call_peer(&peer, call, timeout).await
    }

    pub(crate) async fn call_peer(
        &self,
        peer: &PeerAddr,
        call: Call,
        timeout: Duration,
    ) -> Result<Answer> {
        let transport = self.transport.read().clone();
        let transport = transport.ok_or_else(|| Error::UnknownMember(peer.addr.to_string()))?;
        let request = peer::Request { body: Some(call) };
        match transport.call(peer, request, timeout).await?.body {
            Some(Answer::Refused(refused)) => Err(Error::Refused(refused.reason)),
            Some(answer) => Ok(answer),
            None => Err(Error::Refused("the answer is empty".to_owned())),
        }
    }
}

/// Address and certificate fingerprint in a member's row; `None` if either is malformed.
pub(crate) fn peer_addr(row: &MemberRow) -> Option<PeerAddr> {
    let addr = row.peer_addr.parse().ok()?;
    let fingerprint = row.fingerprint.parse().ok()?;
    Some(PeerAddr { addr, fingerprint })
}
