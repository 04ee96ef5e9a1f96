//! Calls between processes over QUIC: one cached connection a peer, one stream a call.
//!
//! A connection that stays silent past [`IDLE`] is given up by both ends, and the next call opens
//! a new one. Locks: `connections` only, held for look-ups, never over an await.

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
use crate::traffic::Counted;
use crate::traffic::Counters;
use crate::traffic::Traffic;
use crate::Error;
use crate::Fingerprint;
use crate::Identity;
use crate::Result;
use crate::Trust;

/// A connection on which nothing arrives for this long is dead.
const IDLE: Duration = Duration::from_millis(2000);
/// How often an otherwise quiet connection is exercised.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Longest wait for a handshake.
const HANDSHAKE: Duration = Duration::from_millis(1500);
/// Calls that one peer may have open at once.
const STREAMS: u32 = 4096;
/// Code of a connection that is closed on purpose.
const CLOSED: VarInt = VarInt::from_u32(0);
/// Code of a connection whose fingerprint is no longer accepted.
const UNTRUSTED: VarInt = VarInt::from_u32(1);

/// Where a peer listens and which certificate it must show.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PeerAddr {
    /// UDP address.
    pub addr: SocketAddr,
    /// Fingerprint from the peer's member row.
    pub fingerprint: Fingerprint,
}

/// What answers the calls of peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of the member called `from`.
    async fn handle(&self, from: &str, request: Request) -> Response;
}

/// One process's endpoint: it accepts calls and makes them.
#[derive(Clone)]
pub struct Transport {
    shared: Arc<Shared>,
}

struct Shared {
    endpoint: Endpoint,
    identity: Identity,
    connections: Mutex<IndexMap<PeerAddr, Arc<Counted>>>,
    counters: Arc<Counters>,
}

impl Transport {
    /// Binds `addr` and starts to accept the calls of members in `trust`.
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
        tokio::spawn(accept(endpoint.clone(), trust, handler, Arc::clone(&counters)));
        Ok(Transport { shared: Arc::new(Shared { endpoint, identity, connections, counters }) })
    }

    /// The address bound.
    pub fn addr(&self) -> Result<SocketAddr> {
        self.shared.endpoint.local_addr().map_err(|error| Error::Setup(error.to_string()))
    }

    /// The fingerprint that peers must pin.
    pub fn fingerprint(&self) -> Fingerprint {
        self.shared.identity.fingerprint()
    }

    /// Bytes and calls of this endpoint so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.counters.total()
    }

    /// Sends one request and waits for its answer, `limit` at most in all.
    pub async fn call(
        &self,
        peer: &PeerAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response> {
        let mut sent = false;
        match timeout(limit, self.exchange(peer, &request, &mut sent)).await {
            Ok(outcome) => outcome,
            Err(_) if sent => Err(Error::Unknown(format!("no answer from {} in time", peer.addr))),
            Err(_) => Err(Error::NotSent(format!("no connection to {} in time", peer.addr))),
        }
    }

    /// Closes every connection and stops accepting.
    pub fn close(&self) {
        self.shared.connections.lock().clear();
        self.shared.endpoint.close(CLOSED, b"closed");
    }

    /// Waits until peers have been told of the close.
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
        // From here on bytes may reach the peer.
        *sent = true;
        self.shared.counters.call();
        frame::write(&mut send, request).await.map_err(Error::Unknown)?;
        frame::read(&mut recv).await.map_err(Error::Unknown)
    }

    /// Opens a stream, on a new connection when the cached one is broken.
    async fn stream(&self, peer: &PeerAddr) -> Result<(SendStream, RecvStream)> {
        let cached = self.shared.connections.lock().get(peer).cloned();
        if let Some(counted) = cached {
            if counted.connection.close_reason().is_none() {
                if let Ok(streams) = counted.connection.open_bi().await {
                    return Ok(streams);
                }
            }
            self.forget(peer, &counted);
        }
        let connection = self.connect(peer).await?;
        let streams = connection.connection.open_bi().await;
        streams.map_err(|error| Error::NotSent(error.to_string()))
    }

    fn forget(&self, peer: &PeerAddr, counted: &Arc<Counted>) {
        let mut connections = self.shared.connections.lock();
        if connections.get(peer).is_some_and(|cached| Arc::ptr_eq(cached, counted)) {
            connections.swap_remove(peer);
        }
    }

    async fn connect(&self, peer: &PeerAddr) -> Result<Arc<Counted>> {
        let not_sent = |text: String| Error::NotSent(format!("{}: {text}", peer.addr));
        let config = client_config(&self.shared.identity, peer.fingerprint)?;
        let connecting = self
            .shared
            .endpoint
            .connect_with(config, peer.addr, SERVER_NAME)
            .map_err(|error| not_sent(error.to_string()))?;
        let connection = timeout(HANDSHAKE, connecting)
            .await
            .map_err(|_| not_sent("the handshake took too long".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        // A racing call may have connected too; the later one stays cached and both work.
        let mut connections = self.shared.connections.lock();
        connections.retain(|_, old| old.connection.close_reason().is_none());
        let counted = self.shared.counters.count(connection);
        connections.insert(*peer, Arc::clone(&counted));
        Ok(counted)
    }
}

async fn accept(
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
                    serve(&counters.count(connection).connection, trust, handler).await
                }
                Err(error) => log::debug!("a peer's handshake failed: {error}"),
            }
        });
    }
}

/// Serves one connection; the fingerprint is looked up again at each call.
async fn serve(connection: &Connection, trust: Trust, handler: Arc<dyn Handler>) {
    let Some(fingerprint) = fingerprint(connection) else {
        connection.close(UNTRUSTED, b"no certificate");
        return;
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        let Some(name) = trust.name(&fingerprint) else {
            connection.close(UNTRUSTED, b"no longer a member");
            return;
        };
        tokio::spawn(answer(name, send, recv, handler.clone()));
    }
}

fn fingerprint(connection: &Connection) -> Option<Fingerprint> {
    let chain = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.first().map(|certificate| Fingerprint::of(certificate))
}

async fn answer(
    name: String,
    mut send: SendStream,
    mut recv: RecvStream,
    handler: Arc<dyn Handler>,
) {
    let request = match frame::read::<Request>(&mut recv).await {
        Ok(request) => request,
        Err(error) => {
            log::debug!("a request of {name} can't be read: {error}");
            return;
        }
    };
    let response = handler.handle(&name, request).await;
    if let Err(error) = frame::write(&mut send, &response).await {
        log::debug!("an answer to {name} can't be sent: {error}");
    }
}

fn transport_config() -> Result<Arc<TransportConfig>> {
    let idle = IdleTimeout::try_from(IDLE).map_err(|error| Error::Setup(error.to_string()))?;
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(idle))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(Arc::new(config))
}

fn server_config(identity: &Identity, trust: Trust) -> Result<ServerConfig> {
    let tls = tls::server(identity, trust)?;
    let crypto =
        QuicServerConfig::try_from(tls).map_err(|error| Error::Setup(error.to_string()))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport_config()?);
    Ok(config)
}

fn client_config(identity: &Identity, peer: Fingerprint) -> Result<ClientConfig> {
    let tls = tls::client(identity, peer)?;
    let crypto =
        QuicClientConfig::try_from(tls).map_err(|error| Error::Setup(error.to_string()))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport_config()?);
    Ok(config)
}
