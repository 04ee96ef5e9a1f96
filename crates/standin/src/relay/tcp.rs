//! A relay of TCP connections.
//!
//! One task accepts; each connection has a task that copies both directions and watches its
//! [`Flow`]. Commands change the flow of existing connections or of those to come.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::tokio;
use rocket::tokio::io::AsyncReadExt;
use rocket::tokio::io::AsyncWriteExt;
use rocket::tokio::net::tcp::OwnedReadHalf;
use rocket::tokio::net::tcp::OwnedWriteHalf;
use rocket::tokio::net::TcpListener;
use rocket::tokio::net::TcpStream;
use rocket::tokio::sync::mpsc::UnboundedSender;
use rocket::tokio::sync::watch;

use super::Flow;
use super::Limits;

/// How often a relay that stops is looked at.
const STOP_POLL: Duration = Duration::from_millis(1);

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Where it connects to.
    pub target: SocketAddr,
    /// Bounds.
    pub limits: Limits,
    /// Is told the relay's own address towards the target when the client's side ends.
    pub closed: Option<UnboundedSender<SocketAddr>>,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings { listen: any, target: any, limits: Limits::default(), closed: None }
    }
}

/// A running relay; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    flows: IndexMap<u64, Entry>,
    fresh: Flow,
}

#[derive(Debug)]
struct Entry {
    local: SocketAddr,
    flow: watch::Sender<Flow>,
}

impl Relay {
    /// Binds and starts to relay.
    pub async fn start(settings: Settings) -> io::Result<Relay> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { settings, table: Mutex::default() });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Relay { address, shared, accepting })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections it holds, silent ones included.
    pub fn connections(&self) -> usize {
        self.shared.table.lock().flows.len()
    }

    /// Sets the flow of all existing connections.
    pub fn set_existing(&self, flow: Flow) {
        self.set_except(flow, None);
    }

    /// Sets the flow of all existing connections but the one that has `spared` as its own address
    /// towards the target.
    pub fn set_except(&self, flow: Flow, spared: Option<SocketAddr>) {
        let table = self.shared.table.lock();
        for entry in table.flows.values() {
            if Some(entry.local) != spared {
                entry.flow.send_replace(flow);
            }
        }
    }

    /// Sets the flow of the one connection that has `local` as its own address towards the target.
    pub fn set_one(&self, local: SocketAddr, flow: Flow) {
        let table = self.shared.table.lock();
        for entry in table.flows.values().filter(|entry| entry.local == local) {
            entry.flow.send_replace(flow);
        }
    }

    /// Sets the flow that new connections start with.
    pub fn set_fresh(&self, flow: Flow) {
        self.shared.table.lock().fresh = flow;
    }

    /// Waits until the listener and every connection are closed after [`Relay::stop`].
    pub async fn stopped(&self) {
        while !self.accepting.is_finished() || self.connections() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    /// Closes the listener and every connection, as a process does that dies.
    pub fn stop(&self) {
        self.accepting.abort();
        self.set_fresh(Flow::Cut);
        self.set_existing(Flow::Cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let fresh = {
            let table = shared.table.lock();
            if table.flows.len() >= shared.settings.limits.connections {
                Flow::Cut
            } else {
                table.fresh
            }
        };
        if fresh == Flow::Cut {
            continue;
        }
        tokio::spawn(relay(client, Arc::clone(&shared)));
    }
}

async fn relay(client: TcpStream, shared: Arc<Shared>) {
    let Ok(target) = TcpStream::connect(shared.settings.target).await else {
        return;
    };
    let Ok(local) = target.local_addr() else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (id, flow) = shared.enter(local);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let size = shared.settings.limits.buffer_bytes;
    let up = async {
        copy(client_read, target_write, flow.clone(), size).await;
        if let Some(closed) = &shared.settings.closed {
            let _ = closed.send(local);
        }
    };
    let down = copy(target_read, client_write, flow.clone(), size);
    tokio::join!(up, down);
    shared.table.lock().flows.shift_remove(&id);
}

impl Shared {
    fn enter(&self, local: SocketAddr) -> (u64, watch::Receiver<Flow>) {
        let mut table = self.table.lock();
        let id = table.next;
        table.next += 1;
        let (sender, receiver) = watch::channel(table.fresh);
        table.flows.insert(id, Entry { local, flow: sender });
        (id, receiver)
    }
}

/// Copies until the end of `from`, an error, or a cut.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut flow: watch::Receiver<Flow>,
    size: usize,
) {
    let mut buffer = vec![0; size];
    loop {
        let now = *flow.borrow_and_update();
        let read = match now {
            Flow::Cut => return,
            Flow::Silent => {
                if flow.changed().await.is_err() {
                    return;
                }
                continue;
            }
            Flow::Pass => {
                tokio::select! {
                    biased;
                    changed = flow.changed() => match changed {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                    read = from.read(&mut buffer) => read,
                }
            }
        };
        let Ok(read) = read else {
            return;
        };
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        let mut watch = flow.clone();
        let written = tokio::select! {
            _ = watch.wait_for(|flow| *flow == Flow::Cut) => return,
            written = to.write_all(&buffer[..read]) => written,
        };
        if written.is_err() {
            return;
        }
    }
}
