//! Calls between processes over QUIC, with one cached connection per peer and one stream per call.
//!
//! Both ends close a connection on which nothing arrives for [`IDLE_TIMEOUT`], and the next call
//! opens a new one. The only lock, `connections`, is held for look-ups and never across an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use indexmap::IndexMap;
use parking_lot::Mutex;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use rustls::pki_types::CertificateDer;
use tokio::time::timeout;

use crate::frame;
use crate::identity::SERVER_NAME;
use crate::peer::Request;
use crate::peer::Response;
use crate::tls;
use crate::traffic::Counters;
use crate::traffic::TrackedConnection;
use crate::traffic::Traffic;
use crate::Error;
use crate::Fingerprint;
use crate::Identity;
use crate::Result;
use crate::Trust;

/// Time without received packets after which a connection counts as lost.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of concurrent calls of one peer.
const MAX_CONCURRENT_CALLS: u32 = 4096;
/// QUIC close code of a regular shutdown.
const SHUTDOWN_CODE: VarInt = VarInt::from_u32(0);
/// QUIC close code of a connection whose fingerprint isn't accepted.
const UNTRUSTED_CODE: VarInt = VarInt::from_u32(1);

/// Address of a peer and the fingerprint that its certificate must have.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PeerAddr {
    /// UDP address.
    pub addr: SocketAddr,
    /// Fingerprint from the peer's member row.
    pub fingerprint: Fingerprint,
}

/// Handles the calls of peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of the member with the name `from`.
    async fn handle(&self, from: &str, request: Request) -> Response;
}

/// A process's endpoint, which accepts calls from peers and makes calls to them.
#[derive(Clone)]
pub struct Transport {
    shared: Arc<Shared>,
}

struct Shared {
    endpoint: Endpoint,
    identity: Identity,
    connections: Mutex<IndexMap<PeerAddr, Arc<TrackedConnection>>>,
    counters: Arc<Counters>,
}

impl Transport {
    /// Binds `addr` and accepts calls of the members in `trust`.
    pub fn bind(
        addr: SocketAddr,
        identity: Identity,
        trust: Trust,
        handler: Arc<dyn Handler>,
    ) -> Result<Self> {
        let config = server_config(&identity, trust.clone())?;
        let endpoint =
            Endpoint::server(config, addr).map_err(|error| Error::Setup(error.to_string()))?;
        let connections = Mutex::new(IndexMap::new());
        let counters = Arc::new(Counters::default());
        tokio::spawn(accept_connections(endpoint.clone(), trust, handler, Arc::clone(&counters)));
        Ok(Transport { shared: Arc::new(Shared { endpoint, identity, connections, counters }) })
    }

    /// The bound address.
    pub fn addr(&self) -> Result<SocketAddr> {
        self.shared.endpoint.local_addr().map_err(|error| Error::Setup(error.to_string()))
    }

    /// Fingerprint of this endpoint's certificate, which peers put into [`PeerAddr`].
    pub fn fingerprint(&self) -> Fingerprint {
        self.shared.identity.fingerprint()
    }

    /// Bytes and calls of this endpoint so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.counters.total()
    }

    /// Sends one request and waits for its response; `limit` includes the time to connect.
    pub async fn call(
        &self,
        peer: &PeerAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response> {
        let mut sent = false;
        match timeout(limit, self.exchange(peer, &request, &mut sent)).await {
            Ok(outcome) => outcome,
            Err(_) if sent => {
                Err(Error::Unknown(format!("no response from {} within the time limit", peer.addr)))
            }
            Err(_) => {
                Err(Error::NotSent(format!("no connection to {} within the time limit", peer.addr)))
            }
        }
    }

    /// Closes all connections and accepts no new ones.
    pub fn close(&self) {
        self.shared.connections.lock().clear();
        self.shared.endpoint.close(SHUTDOWN_CODE, b"closed");
    }

    /// Waits until peers were notified of the shutdown.
    pub async fn closed(&self) {
        self.shared.endpoint.wait_idle().await;
    }

    async fn exchange(
        &self,
        peer: &PeerAddr,
        request: &Request,
        sent: &mut bool,
    ) -> Result<Response> {
        let (mut send, mut recv) = self.stream(peer).await?;
        // From here on, bytes may reach the peer.
        *sent = true;
        self.shared.counters.record_call();
        frame::write(&mut send, request).await.map_err(Error::Unknown)?;
        frame::read(&mut recv).await.map_err(Error::Unknown)
    }

    /// Opens a stream on the cached connection, or on a new one if that is closed.
    async fn stream(&self, peer: &PeerAddr) -> Result<(SendStream, RecvStream)> {
        let cached = self.shared.connections.lock().get(peer).cloned();
        if let Some(tracked) = cached {
            if tracked.connection.close_reason().is_none() {
                if let Ok(streams) = tracked.connection.open_bi().await {
                    return Ok(streams);
                }
            }
            self.evict(peer, &tracked);
        }
        let tracked = self.connect(peer).await?;
        let streams = tracked.connection.open_bi().await;
        streams.map_err(|error| Error::NotSent(error.to_string()))
    }

    fn evict(&self, peer: &PeerAddr, tracked: &Arc<TrackedConnection>) {
        let mut connections = self.shared.connections.lock();
        if connections.get(peer).is_some_and(|cached| Arc::ptr_eq(cached, tracked)) {
            connections.swap_remove(peer);
        }
    }

    async fn connect(&self, peer: &PeerAddr) -> Result<Arc<TrackedConnection>> {
        let not_sent = |text: String| Error::NotSent(format!("{}: {text}", peer.addr));
        let config = client_config(&self.shared.identity, peer.fingerprint)?;
        let connecting = self
            .shared
            .endpoint
            .connect_with(config, peer.addr, SERVER_NAME)
            .map_err(|error| not_sent(error.to_string()))?;
        let connection = timeout(HANDSHAKE_TIMEOUT, connecting)
            .await
            .map_err(|_| not_sent("the handshake timed out".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        // A concurrent call may have connected too; the later connection is cached, both work.
        let mut connections = self.shared.connections.lock();
        connections.retain(|_, cached| cached.connection.close_reason().is_none());
        let tracked = self.shared.counters.track(connection);
        connections.insert(*peer, Arc::clone(&tracked));
        Ok(tracked)
    }
}

async fn accept_connections(
    endpoint: Endpoint,
    trust: Trust,
    handler: Arc<dyn Handler>,
    counters: Arc<Counters>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let trust = trust.clone();
        let handler = handler.clone();
        let counters = Arc::clone(&counters);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => {
                    serve_connection(&counters.track(connection).connection, trust, handler).await
                }
                Err(error) => log::debug!("handshake with a peer failed: {error}"),
            }
        });
    }
}

/// Serves one connection and checks its fingerprint again at each call.
async fn serve_connection(connection: &Connection, trust: Trust, handler: Arc<dyn Handler>) {
    let Some(fingerprint) = peer_fingerprint(connection) else {
        connection.close(UNTRUSTED_CODE, b"no certificate");
        return;
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        let Some(name) = trust.name(&fingerprint) else {
            connection.close(UNTRUSTED_CODE, b"no longer a member");
            return;
        };
        tokio::spawn(handle_call(name, send, recv, handler.clone()));
    }
}

fn peer_fingerprint(connection: &Connection) -> Option<Fingerprint> {
    let chain = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.first().map(|certificate| Fingerprint::of(certificate))
}

async fn handle_call(
    name: String,
    mut send: SendStream,
    mut recv: RecvStream,
    handler: Arc<dyn Handler>,
) {
    let request = match frame::read::<Request>(&mut recv).await {
        Ok(request) => request,
        Err(error) => {
            log::debug!("failed to read a request of {name}: {error}");
            return;
        }
    };
    let response = handler.handle(&name, request).await;
    if let Err(error) = frame::write(&mut send, &response).await {
        log::debug!("failed to send a response to {name}: {error}");
    }
}

fn transport_config() -> Result<Arc<TransportConfig>> {
    let idle =
        IdleTimeout::try_from(IDLE_TIMEOUT).map_err(|error| Error::Setup(error.to_string()))?;
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(idle))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_CALLS))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(Arc::new(config))
}

fn server_config(identity: &Identity, trust: Trust) -> Result<ServerConfig> {
    let tls = tls::server_config(identity, trust)?;
    let crypto =
        QuicServerConfig::try_from(tls).map_err(|error| Error::Setup(error.to_string()))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport_config()?);
    Ok(config)
}

fn client_config(identity: &Identity, peer: Fingerprint) -> Result<ClientConfig> {
    let tls = tls::client_config(identity, peer)?;
    let crypto =
        QuicClientConfig::try_from(tls).map_err(|error| Error::Setup(error.to_string()))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport_config()?);
    Ok(config)
}
