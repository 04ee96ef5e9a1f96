//! A relay of datagrams, for QUIC.
//!
//! Each sender address gets a socket of its own towards the target. Commands change the flow of
//! the sender addresses seen so far or of those to come.

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

/// Settings of a relay of datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where it sends to.
    pub target: SocketAddr,
    /// Bounds.
    pub limits: Limits,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = Limits { buffer_bytes: 64 * 1024, ..Limits::default() };
        Settings { listen: any, target: any, limits }
    }
}

/// A running relay; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    receiving: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    socket: UdpSocket,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    flows: IndexMap<SocketAddr, Entry>,
    fresh: Flow,
}

#[derive(Debug)]
struct Entry {
    flow: Flow,
    socket: Arc<UdpSocket>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Binds and starts to relay.
    pub async fn start(settings: Settings) -> io::Result<Relay> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Shared { settings, socket, table: Mutex::default() });
        let receiving = tokio::spawn(receive(Arc::clone(&shared)));
        Ok(Relay { address, shared, receiving })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the flow of all sender addresses seen so far; [`Flow::Cut`] forgets them, so that
    /// their next datagram makes a new connection.
    pub fn set_existing(&self, flow: Flow) {
        let mut table = self.shared.table.lock();
        if flow == Flow::Cut {
            table.clear();
            return;
        }
        for entry in table.flows.values_mut() {
            entry.flow = flow;
        }
    }

    /// Sets the flow that new sender addresses start with; [`Flow::Cut`] drops their datagrams.
    pub fn set_fresh(&self, flow: Flow) {
        self.shared.table.lock().fresh = flow;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.receiving.abort();
        self.shared.table.lock().clear();
    }
}

impl Table {
    fn clear(&mut self) {
        for entry in self.flows.values() {
            entry.task.abort();
        }
        self.flows.clear();
    }
}

impl Shared {
    /// The socket towards the target for datagrams of `client`, or none where they are dropped.
    async fn route(self: &Arc<Self>, client: SocketAddr) -> Option<Arc<UdpSocket>> {
        {
            let table = self.table.lock();
            if let Some(entry) = table.flows.get(&client) {
                return (entry.flow == Flow::Pass).then(|| Arc::clone(&entry.socket));
            }
            if table.fresh == Flow::Cut || table.flows.len() >= self.settings.limits.connections {
                return None;
            }
        }
        let local = SocketAddr::new(self.settings.listen.ip(), 0);
        let socket = UdpSocket::bind(local).await.ok()?;
        socket.connect(self.settings.target).await.ok()?;
        let socket = Arc::new(socket);
        let task = tokio::spawn(answer(client, Arc::clone(&socket), Arc::clone(self)));
        let mut table = self.table.lock();
        let flow = table.fresh;
        table.flows.insert(client, Entry { flow, socket: Arc::clone(&socket), task });
        (flow == Flow::Pass).then_some(socket)
    }

    fn passes(&self, client: SocketAddr) -> bool {
        let table = self.table.lock();
        table.flows.get(&client).is_some_and(|entry| entry.flow == Flow::Pass)
    }
}

async fn receive(shared: Arc<Shared>) {
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

async fn answer(client: SocketAddr, socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buffer = vec![0; shared.settings.limits.buffer_bytes];
    loop {
        // An error here is the target's port being closed for now, which a restart mends.
        let Ok(size) = socket.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        if shared.passes(client) {
            let _ = shared.socket.send_to(&buffer[..size], client).await;
        }
    }
}
