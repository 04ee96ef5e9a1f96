//! Pool of HTTP/1 connections to engines. Each carries one request at a time and is reused while
//! both ends keep it alive.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_coord::serving::responses::ConnectionHistory;
use corianderyoke_coord::serving::responses::Execution;
use corianderyoke_coord::serving::responses::Origin;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::header;
use http::response::Parts;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::ext::ReasonPhrase;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::connect;
use crate::meter::Meter;
use crate::meter::MeteredBody;
use crate::meter::MeteredStream;

/// Timeout of a connection attempt; several round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time limit of a connection to an engine that names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Margin before the engine's own idle time limit within which a connection isn't reused, so that
/// a request doesn't race with the engine closing the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Divisor of the idle time limit for requests that must not be repeated: only a connection idle
/// for less than the quotient carries one.
const SAFE_IDLE_DIVISOR: u32 = 2;
/// Most idle connections kept for one engine.
const MAX_IDLE_PER_ENGINE: usize = 16;
/// Largest read buffer of a connection, and so the largest head of a response.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Length of a version and a status at the start of a response.
const STATUS_LINE_START_BYTES: usize = "HTTP/1.1 200".len();

/// Error of a connection to an engine.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection attempt failed or timed out; nothing was sent.
    #[error("failed to connect to {0}: {1}")]
    Connect(SocketAddr, ErrorKind),
    /// The connection closed before the request was sent.
    #[error("connection closed before the request was sent")]
    Unsent,
    /// The connection failed before the response head arrived; the request may have been executed.
    #[error("connection failed before the response head: {0}")]
    Broken(#[source] hyper::Error),
    /// The engine sent too many bytes that were no head of a response; the request may have been
    /// executed.
    #[error("read bytes without end before the response head: {0}")]
    Flooded(#[source] hyper::Error),
    /// The response may answer an earlier request on this connection, so that the request may have
    /// been executed.
    #[error("read a response of status {status} to another request: {origin:?}")]
    Foreign {
        /// Status of the response.
        status: u16,
        /// Request that it answers.
        origin: Origin,
    },
}

/// Result of an operation on a connection.
pub type Result<T> = std::result::Result<T, Error>;

/// Connection in use by one request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    /// Task that drives the connection.
    task: AbortHandle,
    /// Makes the task reset the connection.
    reset: Option<oneshot::Sender<()>>,
    history: ConnectionHistory,
    meter: Meter,
    /// Whether a request was sent whose response hasn't been read to its end.
    is_busy: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Tick,
    keep_alive: Duration,
}

/// Returns whether the engine closes the connection after this response.
fn is_close(head: &HeaderMap) -> bool {
    let value = head.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Returns whether a head consists of two: where a response breaks off within its reason or a header,
/// the next response continues that line, and its headers pass for those of the first.
fn is_merged(response: &Response<MeteredBody>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(HeaderValue::as_bytes);
    values.chain(reason).any(|text| text.windows(STATUS_LINE_START_BYTES).any(starts_status_line))
}

fn starts_status_line(text: &[u8]) -> bool {
    let Some([minor, b' ', status @ ..]) = text.strip_prefix(b"HTTP/1.") else { return false };
    minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
}

/// Idle connections by engine.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<IndexMap<String, Vec<IdleConnection>>>,
}

impl Connection {
    /// Sends a request and waits for the head of its response. `id` is the identifier that the
    /// response echoes; empty if the request has none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] if the connection closed before the request was sent, and
    /// [`Error::Broken`] or [`Error::Foreign`] if the request may have been executed.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        id: &str,
    ) -> Result<Response<MeteredBody>> {
        self.history.begin(id);
        self.is_busy = true;
        // What was read since the last response belongs to none.
        self.meter.record_progress();
        let response = self.sender.send_request(request).await.map_err(|error| {
            // The connection closed before it accepted the request.
            if error.is_canceled() {
                Error::Unsent
            } else if self.meter.is_flooded() {
                Error::Flooded(error)
            } else {
                Error::Broken(error)
            }
        })?;
        let response = response.map(|body| MeteredBody::new(body, self.meter.clone()));
        let origin = if is_merged(&response) {
            Origin::Ambiguous
        } else {
            self.history.origin(headers::request_id(response.headers()))
        };
        match origin {
            Origin::Own => Ok(response),
            origin => Err(Error::Foreign { status: response.status().as_u16(), origin }),
        }
    }

    /// Returns the number of requests that the connection has carried.
    pub fn carried(&self) -> u32 {
        self.history.count()
    }

    /// Returns whether the engine sent too many bytes that were no part of a response.
    pub fn is_flooded(&self) -> bool {
        self.meter.is_flooded()
    }
}

impl Drop for Connection {
    /// Closes the connection, or resets it if a request is given up: the engine cancels the request,
    /// and what it hasn't received is discarded, whereas the operating system goes on delivering it
    /// after a close.
    fn drop(&mut self) {
        match self.reset.take().filter(|_| self.is_busy) {
            // Fails if the connection has ended already.
            Some(reset) => drop(reset.send(())),
            None => self.task.abort(),
        }
    }
}

/// Drives a connection until it ends or is to be reset. An error is reported to the request that the
/// connection carries.
async fn drive(
    mut driver: http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    reset: oneshot::Receiver<()>,
) {
    tokio::select! {
        // The driver may end as well, because the connection is no longer in use.
        biased;
        Ok(()) = reset => {}
        _ = &mut driver => return,
    }
    let stream = driver.into_parts().io.into_inner().into_inner();
    if let Err(error) = stream.set_zero_linger() {
        events::log(Event::AttemptFailed, format_args!("cause=not_reset {error}"));
    }
}

impl Pool {
    /// Returns a connection to an engine for the request with the identifier `id`: an idle one on
    /// which its response can be told from earlier ones, or a new one. With `avoid_stale`, an idle
    /// connection is reused only if it is far from the idle time limit at which the engine closes it.
    ///
    /// # Errors
    ///
    /// No idle connection is usable and a new one can't be opened.
    pub async fn connection(
        &self,
        engine: &str,
        address: SocketAddr,
        id: &str,
        avoid_stale: bool,
    ) -> Result<Connection> {
        if let Some(connection) = self.take_idle(engine, address, id, avoid_stale) {
            return Ok(connection);
        }
        let meter = Meter::new(READ_BUFFER_BYTES);
        let failed = |kind| Error::Connect(address, kind);
        let stream = connect::open(address, CONNECT_TIMEOUT).await.map_err(failed)?;
        let stream = MeteredStream::new(stream, meter.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| failed(ErrorKind::Other))?;
        let (reset, is_reset) = oneshot::channel();
        let task = tokio::spawn(drive(driver, is_reset)).abort_handle();
        Ok(Connection {
            address,
            sender,
            task,
            reset: Some(reset),
            history: ConnectionHistory::default(),
            meter,
            is_busy: false,
        })
    }

    /// Returns a connection to the pool after its response was read to the end. The response's `head`
    /// states whether and for how long the engine keeps the connection alive.
    pub fn release(&self, engine: &str, mut connection: Connection, head: &Parts) {
        connection.is_busy = false;
        let facts = headers::decode_response(&head.headers);
        let execution = Execution::of(head.status.as_u16(), facts.not_executed);
        // The caller gets any other response, so that the request isn't sent again.
        let is_served = execution == Execution::Done && !head.status.is_server_error();
        if !connection.history.end(is_served) {
            return;
        }
        let keep_alive = facts.keep_alive;
        let keep_alive =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |value| value.saturating_sub(KEEP_ALIVE_MARGIN));
        if keep_alive.is_zero() || is_close(&head.headers) {
            return;
        }
        let mut idle = self.idle.lock();
        let connections = idle.entry(engine.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_ENGINE {
            connections.push(IdleConnection { connection, since: clock::now(), keep_alive });
        }
    }

    /// Closes the idle connections to an engine that has ended.
    pub fn remove_engine(&self, engine: &str) {
        self.idle.lock().swap_remove(engine);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    /// Closes connections that exceeded their idle time limit.
    pub fn close_expired(&self) {
        let now = clock::now();
        self.idle.lock().retain(|_, connections| {
            connections.retain(|idle| {
                now.since(idle.since) < idle.keep_alive && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }

    fn take_idle(
        &self,
        engine: &str,
        address: SocketAddr,
        id: &str,
        avoid_stale: bool,
    ) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(engine)?;
        connections.retain(|idle| {
            let is_alive = now.since(idle.since) < idle.keep_alive;
            // One that was in use while the engine moved leads to its former process.
            is_alive && idle.connection.address == address && idle.connection.sender.is_ready()
        });
        let position = connections.iter().rposition(|idle| {
            let divisor = if avoid_stale { SAFE_IDLE_DIVISOR } else { 1 };
            let is_fresh = now.since(idle.since) < idle.keep_alive / divisor;
            is_fresh && idle.connection.history.may_carry(id)
        })?;
        Some(connections.remove(position).connection)
    }
}
