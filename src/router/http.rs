//! The HTTP server for callers: limits request sizes, routes requests and renders answers.
//!
//! One handler serves every path, so that a wrong path or method gets the same kind of refusal as
//! everything else, and requests reach an upstream only through [`generate`] or [`service`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_http::Running;
use futures::Stream;
use futures::StreamExt;
use rocket::catch;
use rocket::catchers;
use rocket::data::ByteUnit;
use rocket::data::Data;
use rocket::data::DataStream;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Method;
use rocket::http::Status;
use rocket::response::stream::ByteStream;
use rocket::response::Responder;
use rocket::route::Handler;
use rocket::route::Outcome;
use rocket::route::Route;
use rocket::tokio::io::sink;
use rocket::tokio::io::AsyncReadExt;
use rocket::Request;
use rocket::Response;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::router::generate;
use crate::router::listing;
use crate::router::refusal::Code;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request::Kind;
use crate::router::service;
use crate::router::Router;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of all header names and values together, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Most bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: u64 = 8 * 1024 * 1024;
/// Longest time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a body that Rocket reads before it calls the handler.
const PEEKED_BYTES: usize = 16;
/// Longest wait for a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Query parameters in which callers mistakenly send keys.
const KEY_PARAMETERS: [&str; 5] = ["key", "api_key", "api-key", "apikey", "access_token"];
/// Methods that the handler is mounted for.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Head,
    Method::Options,
];

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

/// Serves callers on `address`.
pub async fn serve(
    address: SocketAddr,
    router: Arc<Router>,
) -> corianderyoke_http::Result<Running> {
    let handler = CallerHandler { router };
    let routes = METHODS.map(|method| Route::new(method, "/<path..>", handler.clone()));
    let rocket = rocket::custom(corianderyoke_http::config(address))
        .mount("/", routes.to_vec())
        .register("/", catchers![refuse_unhandled]);
    corianderyoke_http::launch(rocket, address).await
}

#[catch(default)]
fn refuse_unhandled(status: Status, _: &Request<'_>) -> Refusal {
    unhandled_refusal(status.code)
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

#[derive(Clone)]
struct CallerHandler {
    router: Arc<Router>,
}

#[rocket::async_trait]
impl Handler for CallerHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let id = self.router.new_id();
        let result = match read_parts(request, data, &id).await {
            Ok(parts) => dispatch(&self.router, parts).await,
            Err(refusal) => Err(refusal),
        };
        match result {
            Ok(answer) => {
                if let Answer::Complete { .. } = answer {
                    let request = id.clone();
                    self.router.record(|| HistoryEvent::Answer { request, whole: true });
                }
                Outcome::Success(respond(request, answer, &id))
            }
            Err(refusal) => {
                let refusal = refusal.with_id(&id);
                self.router.report_refusal(&refusal);
                match refusal.respond_to(request) {
                    Ok(response) => Outcome::Success(response),
                    Err(status) => Outcome::Error(status),
                }
            }
        }
    }
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

async fn read_parts(request: &Request<'_>, data: Data<'_>, id: &str) -> Result<Parts> {
    let body = data.open(ByteUnit::from(MAX_BODY_BYTES + MAX_DISCARDED_BYTES));
    let (headers, query) = match check_head(request) {
        Ok(checked) => checked,
        Err(refusal) => {
            discard(body).await;
            return Err(refusal);
        }
    };
    let body = read_body(request, body).await?;
    Ok(Parts {
        id: id.to_owned(),
        method: request.method().as_str().to_owned(),
        path: request.uri().path().as_str().to_owned(),
        query,
        headers,
        caller: request.remote(),
        body,
    })
}

/// Returns the headers and the query of a request that may be read on.
fn check_head(request: &Request<'_>) -> Result<(Vec<(String, String)>, String)> {
    let headers = read_headers(request)?;
    let query = request.uri().query().map_or("", |query| query.as_str()).to_owned();
    refuse_keys_in_query(&query)?;
    refuse_ambiguous_path(request.uri().path().as_str())?;
    Ok((headers, query))
}

/// Reads and drops the rest of a refused body. A connection that is closed with unread data is reset,
/// and the caller may then lose the refusal.
async fn discard(mut body: DataStream<'_>) {
    // The body is refused in any case, so its errors and the time limit have no consequence.
    let _ = timeout(DISCARD_TIMEOUT, rocket::tokio::io::copy(&mut body, &mut sink())).await;
}

fn read_headers(request: &Request<'_>) -> Result<Vec<(String, String)>> {
    let headers: Vec<(String, String)> = request
        .headers()
        .iter()
        .map(|header| (header.name().as_str().to_ascii_lowercase(), header.value().to_owned()))
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

async fn read_body(request: &Request<'_>, mut body: DataStream<'_>) -> Result<Bytes> {
    let declared = request.headers().get_one("content-length").and_then(|n| n.parse::<u64>().ok());
    let too_large = || {
        let message = format!("the body may have at most {MAX_BODY_BYTES} bytes");
        Refusal::not_run(Code::TooLarge, message)
    };
    if declared.is_some_and(|n| n > MAX_BODY_BYTES) {
        discard(body).await;
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    let mut limited = (&mut body).take(MAX_BODY_BYTES + 1);
    match timeout(BODY_TIMEOUT, limited.read_to_end(&mut bytes)).await {
        Err(_) => Err(Refusal::not_run(Code::RequestTimeout, "the body came too slowly")),
        Ok(Err(e)) => Err(Refusal::not_run(Code::BadRequest, format!("the body broke off: {e}"))),
        Ok(Ok(length)) if length as u64 > MAX_BODY_BYTES => {
            discard(body).await;
            Err(too_large())
        }
        Ok(Ok(_)) => check_complete(declared, Bytes::from(bytes)),
    }
}

/// Refuses a truncated body. Rocket reads the first bytes of a body before it calls a handler, and
/// treats a connection that breaks during that read as the end of the body.
fn check_complete(declared: Option<u64>, body: Bytes) -> Result<Bytes> {
    let truncated = match declared {
        Some(length) => body.len() as u64 != length,
        None => !body.is_empty() && body.len() < PEEKED_BYTES,
    };
    if truncated {
        let message = "the body broke off; a body this short needs a content-length";
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    Ok(body)
}

fn respond<'r>(request: &'r Request<'_>, answer: Answer, id: &str) -> Response<'r> {
    let mut response = match answer {
        Answer::Complete { status, headers, body } => complete_response(status, headers, body),
        Answer::Events(events) => {
            let stream = ByteStream(event_stream(events));
            let mut response = stream.respond_to(request).unwrap_or_default();
            response.set_header(ContentType::EventStream);
            response.set_header(Header::new("cache-control", "no-store"));
            response
        }
    };
    response.set_header(Header::new("x-request-id", id.to_owned()));
    response
}

fn complete_response<'r>(status: u16, headers: Vec<(String, String)>, body: Bytes) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(status));
    for (name, value) in headers {
        response.adjoin_header(Header::new(name, value));
    }
    response.set_sized_body(body.len(), std::io::Cursor::new(body));
    response
}

fn event_stream(events: mpsc::Receiver<Bytes>) -> impl Stream<Item = Bytes> + Send {
    futures::stream::unfold(events, |mut events| async {
        events.recv().await.map(|event| (event, events))
    })
    .boxed()
}
