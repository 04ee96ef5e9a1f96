//! Connections to engines: one request at a time on each, kept while both ends want it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_adapter::headers;
use corianderyoke_coord::time::Tick;
use corianderyoke_util::clock;
use http::header;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Time until a connection attempt counts as failed; several round trips between zones.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for which an idle connection is kept where the engine doesn't say.
const KEEP: Duration = Duration::from_secs(4);
/// Time before the engine's own idle limit at which a connection isn't used any more, so that a
/// request doesn't cross the engine's close.
const MARGIN: Duration = Duration::from_millis(700);
/// Part of the idle limit within which a connection takes a request that may not be repeated.
const SURE_SHARE: u32 = 2;
/// Idle connections kept for one engine.
const MOST_IDLE: usize = 16;

/// Errors of a connection.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection came up: nothing was sent.
    #[error("failed to connect to {0}")]
    Connect(SocketAddr),
    /// The connection ended before anything was sent.
    #[error("the connection ended before the request was sent")]
    Unsent,
    /// The connection failed before the answer's head: the request may have run.
    #[error("the connection failed: {0}")]
    Broken(#[source] hyper::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A connection that is in use by one request.
#[derive(Debug)]
pub struct Lane {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

#[derive(Debug)]
struct Idle {
    lane: Lane,
    since: Tick,
    keep: Duration,
}

/// Whether an engine closes the connection after an answer.
fn closes(head: &HeaderMap) -> bool {
    let told = head.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    told.is_some_and(|told| told.eq_ignore_ascii_case("close"))
}

/// Idle connections by engine.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<IndexMap<String, Vec<Idle>>>,
}

impl Lane {
    /// Sends a request and gives the answer's head.
    ///
    /// # Errors
    ///
    /// The connection failed; the request may have run.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.sender.send_request(request).await.map_err(|error| {
            // The connection ended before it took the request.
            if error.is_canceled() {
                Error::Unsent
            } else {
                Error::Broken(error)
            }
        })
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        // An answer that wasn't read to its end closes the connection, which ends the work there.
        self.task.abort();
    }
}

impl Pool {
    /// A connection to an engine. `sure` asks for one that the engine can't be closing just now.
    ///
    /// # Errors
    ///
    /// None is kept and no new one comes up.
    pub async fn lane(&self, engine: &str, address: SocketAddr, sure: bool) -> Result<Lane> {
        if let Some(lane) = self.kept(engine, sure) {
            return Ok(lane);
        }
        let opened = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            http1::handshake(TokioIo::new(stream)).await.ok()
        };
        let opened = timeout(CONNECT, opened).await.ok().flatten();
        let Some((sender, connection)) = opened else { return Err(Error::Connect(address)) };
        // How a connection ended shows in the request that it carried.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Lane { sender, task })
    }

    /// Takes a connection back whose answer was read to its end; `head` holds the engine's word on
    /// whether and how long it keeps the connection.
    pub fn give_back(&self, engine: &str, lane: Lane, head: &HeaderMap) {
        let keep = headers::decode_response(head).keep_alive;
        let keep = keep.map_or(KEEP, |told| told.saturating_sub(MARGIN));
        if keep.is_zero() || closes(head) {
            return;
        }
        let mut idle = self.idle.lock();
        let kept = idle.entry(engine.to_owned()).or_default();
        if kept.len() < MOST_IDLE {
            kept.push(Idle { lane, since: clock::now(), keep });
        }
    }

    /// Closes the idle connections to an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.idle.lock().swap_remove(engine);
    }

    /// Closes connections that were idle too long.
    pub fn sweep(&self) {
        let now = clock::now();
        self.idle.lock().retain(|_, kept| {
            kept.retain(|idle| now.since(idle.since) < idle.keep && !idle.lane.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn kept(&self, engine: &str, sure: bool) -> Option<Lane> {
        let now = clock::now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(engine)?;
        while let Some(found) = kept.pop() {
            let limit = if sure { found.keep / SURE_SHARE } else { found.keep };
            if now.since(found.since) < limit && found.lane.sender.is_ready() {
                return Some(found.lane);
            }
        }
        None
    }
}
