//! A relay for TCP connections.
//!
//! One task accepts connections. Each connection has a task that copies both directions and watches
//! its [`Flow`], which can be changed for existing connections and for new ones. The relay keeps the
//! latest HTTP response of each connection, which it can write to the client once more.

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
use rocket::tokio::sync::Mutex as AsyncMutex;

use super::response::Latest;
use super::Flow;
use super::Limits;

/// Interval at which [`Relay::stopped`] checks whether the relay has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address to connect to.
    pub target: SocketAddr,
    /// Resource limits.
    pub limits: Limits,
    /// Receives a connection's local address towards the target when the relay stops copying from
    /// the client.
    pub client_closed: Option<UnboundedSender<SocketAddr>>,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            listen: loopback,
            target: loopback,
            limits: Limits::default(),
            client_closed: None,
        }
    }
}

/// Handle of a running relay, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    connections: IndexMap<u64, Connection>,
    /// Initial flow of new connections.
    new_flow: Flow,
    /// Number of requests before whose response the previous one is written once more.
    repeats: u32,
}

#[derive(Debug)]
struct Connection {
    /// The relay's local address of the connection to the target.
    local: SocketAddr,
    flow: watch::Sender<Flow>,
    exchange: Arc<Exchange>,
}

/// The writing halves of one connection, and the latest response on it.
#[derive(Debug)]
struct Exchange {
    to_client: AsyncMutex<OwnedWriteHalf>,
    to_target: AsyncMutex<OwnedWriteHalf>,
    latest: Mutex<Latest>,
}

/// Direction in which data is copied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToClient,
    ToTarget,
}

impl Relay {
    /// Binds the listening socket and starts the relay.
    pub async fn start(settings: Settings) -> io::Result<Relay> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { settings, table: Mutex::default() });
        let accept_task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Relay { address, shared, accept_task })
    }

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections, including silent ones.
    pub fn connections(&self) -> usize {
        self.shared.table.lock().connections.len()
    }

    /// Sets the flow of all existing connections.
    pub fn set_existing(&self, flow: Flow) {
        self.set_except(flow, None);
    }

    /// Sets the flow of all existing connections except the one whose local address towards the
    /// target is `exempt`.
    pub fn set_except(&self, flow: Flow, exempt: Option<SocketAddr>) {
        let table = self.shared.table.lock();
        for connection in table.connections.values() {
            if Some(connection.local) != exempt {
                connection.flow.send_replace(flow);
            }
        }
    }

    /// Sets the flow of the connection whose local address towards the target is `local`.
    pub fn set_one(&self, local: SocketAddr, flow: Flow) {
        let table = self.shared.table.lock();
        for connection in table.connections.values().filter(|connection| connection.local == local)
        {
            connection.flow.send_replace(flow);
        }
    }

    /// Sets the initial flow of new connections.
    pub fn set_new(&self, flow: Flow) {
        self.shared.table.lock().new_flow = flow;
    }

    /// Writes the latest response of a connection once more before the response to the next
    /// request on it, for this number of requests.
    pub fn repeat_before_next(&self, requests: u32) {
        self.shared.table.lock().repeats = requests;
    }

    /// Writes the latest response once more on each idle connection, except the one whose local
    /// address towards the target is `exempt`.
    pub fn repeat_on_idle(&self, exempt: Option<SocketAddr>) {
        let table = self.shared.table.lock();
        for connection in table.connections.values() {
            let exchange = Arc::clone(&connection.exchange);
            let response = exchange.latest.lock().idle_response();
            if let Some(response) = response.filter(|_| Some(connection.local) != exempt) {
                tokio::spawn(async move { exchange.write_to_client(&response).await });
            }
        }
    }

    /// Waits until the listener and all connections are closed, after [`Relay::stop`].
    pub async fn stopped(&self) {
        while !self.accept_task.is_finished() || self.connections() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Closes the listener and all connections, as when a process is killed.
    pub fn stop(&self) {
        self.accept_task.abort();
        self.set_new(Flow::Cut);
        self.set_existing(Flow::Cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Accepts connections; closes those above the limit and those whose initial flow is
/// [`Flow::Cut`].
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let initial_flow = {
            let table = shared.table.lock();
            if table.connections.len() >= shared.settings.limits.connections {
                Flow::Cut
            } else {
                table.new_flow
            }
        };
        if initial_flow == Flow::Cut {
            continue;
        }
        tokio::spawn(relay(client, Arc::clone(&shared)));
    }
}

/// Connects to the target and copies both directions of one connection.
async fn relay(client: TcpStream, shared: Arc<Shared>) {
    let Ok(target) = TcpStream::connect(shared.settings.target).await else {
        return;
    };
    let Ok(local) = target.local_addr() else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let exchange = Arc::new(Exchange {
        to_client: AsyncMutex::new(client_write),
        to_target: AsyncMutex::new(target_write),
        latest: Mutex::default(),
    });
    let (id, flow) = shared.add_connection(local, Arc::clone(&exchange));
    let to_target = async {
        shared.copy(Direction::ToTarget, client_read, &exchange, flow.clone()).await;
        if let Some(closed_sender) = &shared.settings.client_closed {
            let _ = closed_sender.send(local);
        }
    };
    let to_client = shared.copy(Direction::ToClient, target_read, &exchange, flow.clone());
    tokio::join!(to_target, to_client);
    shared.table.lock().connections.shift_remove(&id);
}

impl Shared {
    /// Adds a connection and returns its id and its flow.
    fn add_connection(
        &self,
        local: SocketAddr,
        exchange: Arc<Exchange>,
    ) -> (u64, watch::Receiver<Flow>) {
        let mut table = self.table.lock();
        let id = table.next_id;
        table.next_id += 1;
        let (sender, receiver) = watch::channel(table.new_flow);
        table.connections.insert(id, Connection { local, flow: sender, exchange });
        (id, receiver)
    }

    /// Copies one direction of a connection and closes it at the end.
    async fn copy(
        &self,
        direction: Direction,
        from: OwnedReadHalf,
        exchange: &Exchange,
        flow: watch::Receiver<Flow>,
    ) {
        self.copy_until_end(direction, from, exchange, flow).await;
        // The other side may have closed the connection already.
        let _ = exchange.writer(direction).lock().await.shutdown().await;
    }

    /// Copies until `from` ends, an error occurs or the flow becomes [`Flow::Cut`].
    async fn copy_until_end(
        &self,
        direction: Direction,
        mut from: OwnedReadHalf,
        exchange: &Exchange,
        mut flow: watch::Receiver<Flow>,
    ) {
        let mut buffer = vec![0; self.settings.limits.buffer_bytes];
        loop {
            let current = *flow.borrow_and_update();
            let read = match current {
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
            let Ok(size @ 1..) = read else {
                return;
            };
            let mut cut_watch = flow.clone();
            let written = tokio::select! {
                _ = cut_watch.wait_for(|flow| *flow == Flow::Cut) => return,
                written = self.forward(direction, &buffer[..size], exchange) => written,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Writes data to its destination. Data to the target begins or continues a request; before a
    /// request that begins, the previous response may be written once more.
    async fn forward(
        &self,
        direction: Direction,
        data: &[u8],
        exchange: &Exchange,
    ) -> io::Result<()> {
        match direction {
            Direction::ToClient => exchange.latest.lock().add_response(data),
            Direction::ToTarget => {
                let previous = exchange.latest.lock().begin_request();
                if let Some(response) = previous.filter(|_| self.takes_repeat()) {
                    exchange.write_to_client(&response).await;
                }
            }
        }
        exchange.writer(direction).lock().await.write_all(data).await
    }

    /// Whether the response before the next one is written once more; counts down.
    fn takes_repeat(&self) -> bool {
        let mut table = self.table.lock();
        let repeats = table.repeats > 0;
        table.repeats = table.repeats.saturating_sub(1);
        repeats
    }
}

impl Exchange {
    fn writer(&self, direction: Direction) -> &AsyncMutex<OwnedWriteHalf> {
        match direction {
            Direction::ToClient => &self.to_client,
            Direction::ToTarget => &self.to_target,
        }
    }

    async fn write_to_client(&self, response: &[u8]) {
        // A client that has closed the connection doesn't get the response.
        let _ = self.to_client.lock().await.write_all(response).await;
    }
}
