//! The HTTP server for callers: limits request sizes, routes requests and renders answers.
//!
//! One handler serves every path, so that a wrong path or method gets the same kind of refusal as
//! everything else, and requests reach an upstream only through [`generate`] or [`service`].
//!
//! What connections, bodies and answers hold is charged to the router's memory; a connection that
//! must give way is closed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_coord::memory::Phase;
use corianderyoke_history::Event as HistoryEvent;
use futures::stream;
use http::header;
use http::request::Parts as Head;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::router::generate;
use crate::router::listing;
use crate::router::refusal::Code;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request::Kind;
use crate::router::service;
use crate::router::Router;
use crate::util::memory;
use crate::util::memory::Connection;
use crate::util::memory::Memory;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of all header names and values together, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Most bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;
/// Longest time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Query parameters in which callers mistakenly send keys.
const KEY_PARAMETERS: [&str; 5] = ["key", "api_key", "api-key", "apikey", "access_token"];
/// Methods that are served.
const METHODS: [&str; 7] = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS"];
/// Longest time for which a connection is idle or sends a head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest read buffer of a connection; twice the largest head.
const MAX_BUFFER_BYTES: usize = 2 * MAX_HEADER_BYTES;
/// Delay after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time in which open requests may end after the server was asked to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a response to a caller.
type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A request, detached from its connection.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Request id assigned by the router.
    pub id: String,
    /// Method name in upper case.
    pub method: String,
    /// Path as received, not percent-decoded.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Remote address of the connection.
    pub caller: Option<SocketAddr>,
    /// The complete body.
    pub body: Bytes,
    /// Connection of the caller.
    pub connection: Arc<Connection>,
}

impl Parts {
    /// The value of header `name`; `None` if it is absent or repeated.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Some(value),
            _ => None,
        }
    }
}

/// A successful answer.
pub enum Answer {
    /// A complete answer, sent with its length.
    Complete {
        /// HTTP status code.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
        /// The body.
        body: Bytes,
    },
    /// A stream of server-sent events.
    Events(mpsc::Receiver<Bytes>),
}

impl Answer {
    /// Creates a JSON answer with status 200.
    pub fn json(value: &serde_json::Value) -> Answer {
        let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        Answer::Complete { status: 200, headers, body: Bytes::from(value.to_string()) }
    }
}

/// Handle of the server for callers.
#[derive(Debug)]
pub struct Running {
    /// The bound address; if port 0 was requested, with the port that the system assigned.
    pub address: SocketAddr,
    stopping: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Stops the server and waits until it has ended.
    pub async fn stop(self) {
        self.stopping.send_replace(true);
        // A join error means that the server's task has ended as well.
        let _ = self.task.await;
    }
}

/// Serves callers on `address`.
///
/// # Errors
///
/// The address can't be bound.
pub async fn serve(
    address: SocketAddr,
    router: Arc<Router>,
) -> corianderyoke_http::Result<Running> {
    let failed = |cause: std::io::Error| {
        let cause = cause.to_string();
        corianderyoke_http::Error::Listen { address, cause }
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (stopping, stopped) = watch::channel(false);
    let task = tokio::spawn(run(listener, router, stopped));
    Ok(Running { address, stopping, task })
}

/// Accepts connections until the server stops, then waits for the open ones.
async fn run(listener: TcpListener, router: Arc<Router>, mut stopped: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Fails only if the handle was dropped.
            _ = stopped.wait_for(|is_stopping| *is_stopping) => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, remote)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(connection) = router.memory.connect() else { continue };
        let serving =
            serve_connection(stream, remote, connection, Arc::clone(&router), stopped.clone());
        connections.spawn(serving);
    }
    drop(listener);
    let ended = async { while connections.join_next().await.is_some() {} };
    // Connections that are still open then are closed.
    let _ = timeout(STOP_TIMEOUT, ended).await;
}

async fn serve_connection(
    stream: TcpStream,
    remote: SocketAddr,
    connection: Arc<Connection>,
    router: Arc<Router>,
    mut stopped: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let held = Arc::clone(&connection);
    let service = service_fn(move |request| {
        let caller = Caller { remote, connection: Arc::clone(&held) };
        respond_to(Arc::clone(&router), caller, request)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also limits how long a keep-alive connection may stay idle.
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    tokio::select! {
        // An error means that the caller closed the connection, which its requests notice.
        _ = &mut served => return,
        () = connection.closed() => return,
        _ = stopped.wait_for(|is_stopping| *is_stopping) => {}
    }
    served.as_mut().graceful_shutdown();
    tokio::select! {
        _ = served => {}
        () = connection.closed() => {}
    }
}

/// Sender of a request.
struct Caller {
    remote: SocketAddr,
    connection: Arc<Connection>,
}

async fn respond_to(
    router: Arc<Router>,
    caller: Caller,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Infallible> {
    // In a task of its own, since the work of a request goes on when its caller hangs up.
    let handled = tokio::spawn(handle(router, caller, request)).await;
    // The task isn't aborted, so it failed if it has no result.
    Ok(handled.unwrap_or_else(|_| refuse(&Refusal::lost())))
}

/// The refusal of a request that the HTTP library ended with this status.
pub fn unhandled_refusal(status: u16) -> Refusal {
    match status {
        404 => Refusal::not_run(Code::NotFound, "no such path"),
        413 => Refusal::not_run(Code::TooLarge, "the request is too large"),
        500.. => Refusal::lost(),
        _ => Refusal::not_run(Code::BadRequest, "the request isn't valid HTTP"),
    }
}

async fn handle(router: Arc<Router>, caller: Caller, request: Request<Incoming>) -> Response<Body> {
    let id = router.new_id();
    let connection = Arc::clone(&caller.connection);
    let charge = connection.begin_request().await;
    let read = match &charge {
        Ok(_) => read_parts(&router, caller, request, &id).await,
        Err(_) => Err(no_memory(&router.memory)),
    };
    drop(charge);
    let result = match read {
        Ok(parts) => {
            connection.enter(Phase::Running);
            dispatch(&router, parts).await
        }
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(answer) => {
            if let Answer::Complete { .. } = answer {
                let request = id.clone();
                router.record(|| HistoryEvent::Answer { request, whole: true });
                connection.enter(Phase::Writing);
            } else {
                connection.enter(Phase::Streaming);
            }
            respond(answer, &id, connection)
        }
        Err(refusal) => {
            let refusal = refusal.with_id(&id);
            router.report_refusal(&refusal);
            connection.enter(Phase::Writing);
            refuse(&refusal)
        }
    }
}

fn no_memory(memory: &Memory) -> Refusal {
    let message = "this router has no memory for the request; send it again later";
    Refusal::not_run(Code::NoMemory, message).with_retry(memory.retry_delay())
}

async fn dispatch(router: &Arc<Router>, parts: Parts) -> Result<Answer> {
    let path = parts.path.clone();
    let method = parts.method.as_str();
    match (method, path.as_str()) {
        ("POST", "/v1/chat/completions") => generate::serve(router, Kind::Chat, parts).await,
        ("POST", "/v1/completions") => generate::serve(router, Kind::Text, parts).await,
        ("GET", "/v1/models") => listing::models(router, &parts),
        ("GET", "/v1/entry") => listing::entry(router, &parts).await,
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models" | "/v1/entry") => {
            Err(Refusal::not_run(Code::MethodNotAllowed, format!("{path} doesn't take {method}")))
        }
        _ => match path.strip_prefix("/services/") {
            Some(rest) => service::serve(router, rest, parts).await,
            None => Err(Refusal::not_run(Code::NotFound, format!("no such path: {path}"))),
        },
    }
}

async fn read_parts(
    router: &Router,
    caller: Caller,
    request: Request<Incoming>,
    id: &str,
) -> Result<Parts> {
    let (head, body) = request.into_parts();
    let (headers, query) = match check_head(&head) {
        Ok(checked) => checked,
        Err(refusal) => {
            discard(&router.memory, body).await;
            return Err(refusal);
        }
    };
    let body = tokio::select! {
        biased;
        body = read_body(&caller.connection, body) => body?,
        // It hasn't been sent to an upstream.
        () = caller.connection.ended() => return Err(no_memory(&router.memory)),
    };
    Ok(Parts {
        id: id.to_owned(),
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query,
        headers,
        caller: Some(caller.remote),
        body,
        connection: caller.connection,
    })
}

/// Returns the headers and the query of a request that may be read on.
fn check_head(head: &Head) -> Result<(Vec<(String, String)>, String)> {
    let headers = read_headers(head)?;
    let query = head.uri.query().unwrap_or_default().to_owned();
    if !METHODS.contains(&head.method.as_str()) {
        return Err(unhandled_refusal(404));
    }
    refuse_keys_in_query(&query)?;
    refuse_ambiguous_path(head.uri.path())?;
    Ok((headers, query))
}

/// Reads and drops the rest of a refused body, unless too many are being read. A connection that is
/// closed with unread data is reset, and the caller may then lose the refusal.
async fn discard(memory: &Arc<Memory>, mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let Some(discard) = memory.begin_discard() else { return };
    let discarding = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(length);
            if left == 0 || !discard.count(length) {
                return;
            }
        }
    };
    // The body is refused in any case, so its errors and the time limit have no consequence.
    let _ = timeout(DISCARD_TIMEOUT, discarding).await;
}

fn read_headers(head: &Head) -> Result<Vec<(String, String)>> {
    let headers: Vec<(String, String)> = head
        .headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    let bytes: usize = headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
        let message = format!("at most {MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes in all");
        return Err(Refusal::not_run(Code::HeadersTooLarge, message));
    }
    for unique in ["authorization", "x-api-key", "idempotency-key", "host", "content-length"] {
        if headers.iter().filter(|(name, _)| name == unique).count() > 1 {
            let message = format!("header `{unique}` came more than once");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
    }
    Ok(headers)
}

fn refuse_keys_in_query(query: &str) -> Result<()> {
    let names = query.split('&').filter_map(|pair| pair.split('=').next());
    for name in names {
        if KEY_PARAMETERS.contains(&name.to_ascii_lowercase().as_str()) {
            let message = format!("`{name}` isn't taken in the query; send it as a bearer token");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
    }
    Ok(())
}

/// Refuses paths that an HTTP library could normalize to another path.
fn refuse_ambiguous_path(path: &str) -> Result<()> {
    let is_ambiguous = |segment: &str| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        matches!(decoded.as_str(), "." | "..") || decoded.contains("%2f") || decoded.contains('\\')
    };
    if path.split('/').any(is_ambiguous) {
        let message = "the path may not have `.` or `..` segments, or encoded slashes";
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    Ok(())
}

/// Error of reading a body.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error(transparent)]
    Buffer(#[from] memory::Error),
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

async fn read_body(connection: &Connection, mut body: Incoming) -> Result<Bytes> {
    let length = body.size_hint().exact();
    let is_too_large = length.is_some_and(|length| length > MAX_BODY_BYTES as u64);
    let mut buffer = connection.body_buffer(length, MAX_BODY_BYTES);
    let reading = async {
        if is_too_large {
            return Err(BodyError::from(memory::Error::TooLarge));
        }
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame?.into_data() else { continue };
            connection.record_progress(piece.len());
            buffer.extend(&piece).await?;
        }
        Ok(())
    };
    match timeout(BODY_TIMEOUT, reading).await {
        Err(_) => Err(Refusal::not_run(Code::RequestTimeout, "the body came too slowly")),
        Ok(Err(BodyError::Broken(error))) => {
            Err(Refusal::not_run(Code::BadRequest, format!("the body broke off: {error}")))
        }
        Ok(Err(BodyError::Buffer(memory::Error::NoMemory))) => Err(no_memory(connection.memory())),
        Ok(Err(BodyError::Buffer(memory::Error::TooLarge))) => {
            drop(buffer);
            discard(connection.memory(), body).await;
            let message = format!("the body may have at most {MAX_BODY_BYTES} bytes");
            Err(Refusal::not_run(Code::TooLarge, message))
        }
        Ok(Ok(())) => Ok(buffer.into_bytes()),
    }
}

fn respond(answer: Answer, id: &str, connection: Arc<Connection>) -> Response<Body> {
    let mut response = match answer {
        Answer::Complete { status, headers, body } => complete_response(status, &headers, body),
        Answer::Events(events) => {
            let mut response =
                Response::new(StreamBody::new(event_stream(events, connection)).boxed_unsync());
            let headers = response.headers_mut();
            let event_stream = HeaderValue::from_static("text/event-stream");
            headers.insert(header::CONTENT_TYPE, event_stream);
            headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
            response
        }
    };
    add_common_headers(&mut response, id);
    response
}

fn add_common_headers(response: &mut Response<Body>, id: &str) {
    let headers = response.headers_mut();
    // Always succeeds: an id consists of letters, digits and a dash.
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    headers.insert(header::X_CONTENT_TYPE_OPTIONS, HeaderValue::from_static("nosniff"));
}

fn complete_response(status: u16, headers: &[(String, String)], body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        // An upstream's header that can't be sent on is left out.
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Builds the response of a refusal.
fn refuse(refusal: &Refusal) -> Response<Body> {
    let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    if let Some(seconds) = refusal.retry_seconds() {
        headers.push(("retry-after".to_owned(), seconds.to_string()));
    }
    if refusal.code == Code::NoMemory {
        // The rest of the body isn't read.
        headers.push(("connection".to_owned(), "close".to_owned()));
    }
    let mut response = complete_response(refusal.code.status(), &headers, refusal.body().into());
    add_common_headers(&mut response, &refusal.id);
    response
}

fn event_stream(
    events: mpsc::Receiver<Bytes>,
    connection: Arc<Connection>,
) -> impl futures::Stream<Item = std::result::Result<Frame<Bytes>, Infallible>> + Send {
    stream::unfold((events, connection), |(mut events, connection)| async {
        let event = events.recv().await?;
        // The caller has taken the events before.
        connection.record_progress(event.len());
        Some((Ok(Frame::data(event)), (events, connection)))
    })
}
