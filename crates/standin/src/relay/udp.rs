//! A relay for datagrams, such as those of QUIC.
//!
//! Each sender address is a session with its own socket towards the target. The [`Flow`] can be
//! changed for existing sessions and for new ones.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::tokio;
use rocket::tokio::net::UdpSocket;
use rocket::tokio::task::JoinHandle;

use super::Flow;
use super::Limits;

/// Settings of a datagram relay.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address to forward datagrams to.
    pub target: SocketAddr,
    /// Resource limits.
    pub limits: Limits,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = Limits { buffer_bytes: 64 * 1024, ..Limits::default() };
        Settings { listen: loopback, target: loopback, limits }
    }
}

/// Handle of a running relay, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    receive_task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    socket: UdpSocket,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    /// Sessions by sender address.
    sessions: IndexMap<SocketAddr, Session>,
    /// Initial flow of new sessions.
    new_flow: Flow,
}

#[derive(Debug)]
struct Session {
    flow: Flow,
    socket: Arc<UdpSocket>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Binds the listening socket and starts the relay.
    pub async fn start(settings: Settings) -> io::Result<Relay> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Shared { settings, socket, table: Mutex::default() });
        let receive_task = tokio::spawn(forward_requests(Arc::clone(&shared)));
        Ok(Relay { address, shared, receive_task })
    }

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the flow of all existing sessions. [`Flow::Cut`] removes them, so that a sender's next
    /// datagram opens a new session.
    pub fn set_existing(&self, flow: Flow) {
        let mut table = self.shared.table.lock();
        if flow == Flow::Cut {
            table.clear();
            return;
        }
        for session in table.sessions.values_mut() {
            session.flow = flow;
        }
    }

    /// Sets the initial flow of new sessions; [`Flow::Cut`] drops datagrams of new senders.
    pub fn set_new(&self, flow: Flow) {
        self.shared.table.lock().new_flow = flow;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.receive_task.abort();
        self.shared.table.lock().clear();
    }
}

impl Table {
    /// Ends and removes all sessions.
    fn clear(&mut self) {
        for session in self.sessions.values() {
            session.task.abort();
        }
        self.sessions.clear();
    }
}

impl Shared {
    /// Returns the socket that forwards datagrams of `client`, opening a session if needed; none if
    /// the datagram is to be dropped.
    async fn route(self: &Arc<Self>, client: SocketAddr) -> Option<Arc<UdpSocket>> {
        {
            let table = self.table.lock();
            if let Some(session) = table.sessions.get(&client) {
                return (session.flow == Flow::Pass).then(|| Arc::clone(&session.socket));
            }
            if table.new_flow == Flow::Cut
                || table.sessions.len() >= self.settings.limits.connections
            {
                return None;
            }
        }
        let local = SocketAddr::new(self.settings.listen.ip(), 0);
        let socket = UdpSocket::bind(local).await.ok()?;
        socket.connect(self.settings.target).await.ok()?;
        let socket = Arc::new(socket);
        let task = tokio::spawn(forward_replies(client, Arc::clone(&socket), Arc::clone(self)));
        let mut table = self.table.lock();
        let flow = table.new_flow;
        table.sessions.insert(client, Session { flow, socket: Arc::clone(&socket), task });
        (flow == Flow::Pass).then_some(socket)
    }

    /// Whether datagrams to `client` are forwarded.
    fn is_passing(&self, client: SocketAddr) -> bool {
        let table = self.table.lock();
        table.sessions.get(&client).is_some_and(|session| session.flow == Flow::Pass)
    }
}

/// Forwards datagrams from senders to the target.
async fn forward_requests(shared: Arc<Shared>) {
    let mut buffer = vec![0; shared.settings.limits.buffer_bytes];
    loop {
        let Ok((size, client)) = shared.socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(socket) = shared.route(client).await {
            let _ = socket.send(&buffer[..size]).await;
        }
    }
}

/// Forwards datagrams from the target back to one sender.
async fn forward_replies(client: SocketAddr, socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buffer = vec![0; shared.settings.limits.buffer_bytes];
    loop {
        // A receive error means that the target's port is closed; it may reopen after a restart.
        let Ok(size) = socket.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        if shared.is_passing(client) {
            let _ = shared.socket.send_to(&buffer[..size], client).await;
        }
    }
}
