//! A stand-in of an engine: answers requests as it was told to, and takes orders.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::json;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::store::Store;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Answers after a while.
    Answer(Duration),
    /// Streams so many events, a pause before each.
    Stream(u64, Duration),
    /// Streams so many events and a part of the next, and breaks off.
    Cut(u64),
    /// Streams so many events and falls silent.
    Stall(u64),
    /// States that it doesn't run the request.
    Refuse,
    /// States that it doesn't hold what the request asks for.
    Misplaced,
    /// Closes the connection without an answer.
    Drop,
    /// Answers with the identity of another request.
    OtherId,
    /// Answers without its signature.
    Unsigned,
    /// Fails the request.
    Fail,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether it ran, as far as the engine tells it.
    pub ran: bool,
}

#[derive(Default)]
struct State {
    acts: VecDeque<Act>,
    seen: Vec<Seen>,
    orders: Vec<Value>,
    models: Vec<String>,
    /// Models and their adapters.
    adapters: Vec<(String, String)>,
    unfinished: usize,
}

impl State {
    /// What it holds, as its entry and its report say it.
    fn held(&self) -> Vec<Value> {
        let adapters = |model: &String| -> Vec<&String> {
            let held = self.adapters.iter().filter(|(of, _)| of == model);
            held.map(|(_, adapter)| adapter).collect()
        };
        let held = self.models.iter();
        held.map(|name| json!({"name": name, "version": 1, "adapters": adapters(name)})).collect()
    }
}

/// An engine.
#[derive(Clone)]
pub struct Engine {
    /// Identity.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    store: Store,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Serves an engine on a free port and lists it.
    pub async fn start(store: &Store, id: &str, service: &str, models: &[&str]) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let models = models.iter().map(|model| (*model).to_owned()).collect();
        let engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            store: store.clone(),
            state: Arc::new(Mutex::new(State { models, ..State::default() })),
        };
        engine.list("ready");
        let served = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = served.clone();
                let service = service_fn(move |request| {
                    let engine = engine.clone();
                    async move { engine.answer(request).await }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        engine
    }

    /// Writes its entry.
    pub fn list(&self, state: &str) {
        let models = self.state.lock().held();
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": 40,
            "born": 1, "models": models,
            "at_hand": {"in_memory": [], "on_disk": ["m1", "m2"]},
        });
        self.store.put("servers", &self.id, entry.to_string().as_bytes());
    }

    /// What it does with its next requests; with all others it answers at once.
    pub fn next(&self, acts: &[Act]) {
        self.state.lock().acts.extend(acts);
    }

    /// What it does with a request where nothing else was said.
    fn usual(&self, path: &str) -> Act {
        if path.starts_with("/resume/soak") {
            Act::Stream(4, Duration::from_millis(15))
        } else {
            Act::Answer(Duration::ZERO)
        }
    }

    /// Requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.lock().seen.clone()
    }

    /// Orders that it was given.
    pub fn orders(&self) -> Vec<Value> {
        self.state.lock().orders.clone()
    }

    /// Requests at work.
    pub fn unfinished(&self) -> usize {
        self.state.lock().unfinished
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        let path = request.uri().to_string();
        let headers = request.headers().clone();
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        match path.as_str() {
            "/order" => return Ok(self.order(&body)),
            "/report" => return Ok(self.report()),
            _ => {}
        }
        let id = headers.get("corianderyoke-attempt-id").cloned();
        let id = id.unwrap_or_else(|| "none".parse().expect("a header"));
        let after = headers.get("last-event-id").and_then(|value| value.to_str().ok());
        let after: u64 = after.and_then(|value| value.parse().ok()).unwrap_or(0);
        let act = {
            let mut state = self.state.lock();
            let act = state.acts.pop_front().unwrap_or_else(|| self.usual(&path));
            let ran = !matches!(act, Act::Refuse | Act::Misplaced);
            state.seen.push(Seen { path, headers, body, ran });
            act
        };
        let _work = Work::begin(&self.state);
        let mut response = match act {
            Act::Answer(span) => {
                sleep(span).await;
                whole(200, "answer")
            }
            Act::Stream(count, pause) => {
                events(after, count, pause, End::Whole, Arc::clone(&self.state))
            }
            Act::Cut(count) => {
                events(after, count, Duration::ZERO, End::Cut, Arc::clone(&self.state))
            }
            Act::Stall(count) => {
                events(after, count, Duration::ZERO, End::Silence, Arc::clone(&self.state))
            }
            Act::Refuse => {
                let mut response = whole(503, "full");
                response.headers_mut().insert("corianderyoke-not-executed", one());
                response
            }
            Act::Misplaced => whole(421, "not here"),
            Act::Drop => {
                // A body that fails before its first byte closes the connection.
                let broken = stream::iter([Err(std::io::Error::other("dropped"))]);
                return Ok(Response::new(StreamBody::new(broken).boxed_unsync()));
            }
            Act::OtherId | Act::Unsigned => whole(200, "answer"),
            Act::Fail => whole(500, "failure"),
        };
        let headers = response.headers_mut();
        let id = if act == Act::OtherId { "other".parse().expect("a header") } else { id };
        headers.insert("corianderyoke-attempt-id", id);
        if !matches!(act, Act::Unsigned | Act::Refuse | Act::Misplaced) {
            headers.insert("corianderyoke-response-seal", "seal".parse().expect("a header"));
        }
        Ok(response)
    }

    fn order(&self, body: &Bytes) -> Response<Body> {
        let order: Value = serde_json::from_slice(body).expect("an order is JSON");
        let mut state = self.state.lock();
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let adapter = order["adapter"].as_str().map(|adapter| (model.clone(), adapter.to_owned()));
        let mut status = 202;
        match (order["op_type"].as_str(), adapter) {
            (Some("load"), Some(adapter)) => state.adapters.push(adapter),
            (Some("load"), None) => state.models.push(model),
            (_, Some(adapter)) => {
                state.adapters.retain(|held| *held != adapter);
                status = 200;
            }
            (_, None) => {
                state.models.retain(|held| *held != model);
                state.adapters.retain(|(of, _)| *of != model);
            }
        }
        state.orders.push(order);
        drop(state);
        self.list("ready");
        whole(status, "")
    }

    fn report(&self) -> Response<Body> {
        let state = self.state.lock();
        let models = state.held();
        let report = json!({"busy": false, "seq": state.orders.len(), "models": models});
        whole(200, &report.to_string())
    }
}

/// Counts a request at work until it is dropped.
struct Work {
    state: Arc<Mutex<State>>,
}

impl Work {
    fn begin(state: &Arc<Mutex<State>>) -> Self {
        state.lock().unfinished += 1;
        Work { state: Arc::clone(state) }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.state.lock().unfinished -= 1;
    }
}

fn one() -> http::HeaderValue {
    http::HeaderValue::from_static("1")
}

fn whole(status: u16, text: &str) -> Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status.try_into().expect("a status");
    response
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It is complete.
    Whole,
    /// In the middle of an event.
    Cut,
    /// Nothing comes any more.
    Silence,
}

fn events(
    after: u64,
    count: u64,
    pause: Duration,
    end: End,
    state: Arc<Mutex<State>>,
) -> Response<Body> {
    let work = Work::begin(&state);
    let whole = stream::iter(after + 1..=after + count).then(move |id| async move {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from(format!("id: {id}\ndata: piece {id}\n\n"))))
    });
    let broken = (end == End::Cut).then(|| {
        let part = Frame::data(Bytes::from(format!("id: {}\nda", after + count + 1)));
        stream::iter([Ok(part), Err(std::io::Error::other("cut"))])
    });
    let held = stream::once(async move {
        if end == End::Silence {
            sleep(Duration::from_secs(60)).await;
        }
        drop(work);
        Ok(Frame::data(Bytes::new()))
    });
    let body = whole.chain(stream::iter(broken).flatten()).chain(held);
    let mut response = Response::new(StreamBody::new(body).boxed_unsync());
    let kind = "text/event-stream".parse().expect("a header");
    response.headers_mut().insert("content-type", kind);
    response
}
