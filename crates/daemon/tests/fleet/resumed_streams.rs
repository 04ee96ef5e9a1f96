//! Tests of streams that break off and whose next engine answers with something else than the rest.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use reqwest::Response;
use serde_json::json;

use crate::fixture::desired_state;
use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::raw_engine::response;
use crate::raw_engine::RawEngine;
use crate::raw_engine::RawRequest;
use crate::raw_engine::Step;
use crate::raw_engine::NOT_EXECUTED;
use crate::raw_engine::SEAL;

/// Events of a complete stream.
const EVENT_COUNT: u64 = 5;
/// Events that are sent before the first engine breaks off.
const FIRST_COUNT: u64 = 2;
/// Signature of the engine that begins a stream.
const FIRST_SEAL: &str = "corianderyoke-response-seal: first";
/// Report of an engine.
const REPORT: &str =
    r#"{"busy": false, "seq": 0, "models": [{"name": "m1", "version": 1, "adapters": []}]}"#;
const EVENT_STREAM: &str = "content-type: text/event-stream";
const CHUNKED: &str = "transfer-encoding: chunked";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Chunked,
    /// The body ends with the connection.
    Unframed,
}

impl Framing {
    fn head(self, id: &str, headers: &[&str]) -> Step {
        let framing = match self {
            Framing::Chunked => CHUNKED,
            Framing::Unframed => "x-unframed: 1",
        };
        let lines = [&[framing], headers].concat().join("\r\n");
        let head = format!("HTTP/1.1 200 OK\r\ncorianderyoke-attempt-id: {id}\r\n{lines}\r\n\r\n");
        Step::Send(head.into_bytes())
    }

    fn piece(self, text: &str) -> Step {
        Step::Send(match self {
            Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()).into_bytes(),
            Framing::Unframed => text.as_bytes().to_vec(),
        })
    }

    fn end(self) -> Step {
        match self {
            Framing::Chunked => Step::Send(b"0\r\n\r\n".to_vec()),
            Framing::Unframed => Step::Close,
        }
    }
}

/// Head, body and end of a stream.
fn stream(framing: Framing, id: &str, headers: &[&str], body: &str) -> Vec<Step> {
    vec![framing.head(id, headers), framing.piece(body), framing.end()]
}

/// How the stream of the first engine breaks off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Break {
    Closed,
    ClosedWithinEvent,
    Reset,
    ResetWithinEvent,
    Silent,
    /// Writes the head and text of an error.
    Error,
}

impl Break {
    fn steps(self, framing: Framing) -> Vec<Step> {
        let within = framing.piece("id: 3\ndata: pie");
        let pause = Step::Pause(Duration::from_millis(50));
        match self {
            Break::Closed => vec![Step::Close],
            Break::ClosedWithinEvent => vec![within, Step::Close],
            // The events must arrive before the reset.
            Break::Reset => vec![pause, Step::Reset],
            Break::ResetWithinEvent => vec![within, pause, Step::Reset],
            Break::Silent => vec![Step::Pause(Duration::from_secs(30))],
            Break::Error => {
                let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 8\r\n\r\n";
                vec![Step::Send(format!("{head}failed\n\n").into_bytes()), Step::Close]
            }
        }
    }
}

fn first_response(request: &RawRequest, framing: Framing, broken: Break) -> Vec<Step> {
    let pause = Step::Pause(Duration::from_millis(20));
    let head = framing.head(&request.id, &[FIRST_SEAL, EVENT_STREAM]);
    let pieces = (1..=FIRST_COUNT).flat_map(|id| [framing.piece(&event(id)), pause.clone()]);
    std::iter::once(head).chain(pieces).chain(broken.steps(framing)).collect()
}

/// Steps of the engine that is to go on with a stream after the last event that the caller has.
type Next = fn(&str, u64) -> Vec<Step>;

fn rest(id: &str, after: u64) -> Vec<Step> {
    let body = events(after + 1..=EVENT_COUNT);
    stream(Framing::Chunked, id, &[SEAL, EVENT_STREAM], &body)
}

fn unframed_rest(id: &str, after: u64) -> Vec<Step> {
    let body = events(after + 1..=EVENT_COUNT);
    stream(Framing::Unframed, id, &[SEAL, EVENT_STREAM], &body)
}

/// Sends a response with a length whose body contains an event.
fn failed(id: &str, status: u16, headers: &[&str]) -> Vec<Step> {
    vec![Step::Send(response(status, id, headers, "overloaded\n\nid: 3\ndata: error\n\n"))]
}

/// Sends a successful event stream with this body.
fn success(id: &str, body: &str) -> Vec<Step> {
    stream(Framing::Chunked, id, &[SEAL, EVENT_STREAM], body)
}

/// Responses that aren't the rest of a stream.
const OTHER_RESPONSES: [(&str, Next); 21] = [
    ("500", |id, _| failed(id, 500, &[SEAL])),
    ("503", |id, _| failed(id, 503, &[SEAL])),
    ("503 not executed", |id, _| failed(id, 503, &[NOT_EXECUTED])),
    ("421", |id, _| failed(id, 421, &[])),
    ("400", |id, _| failed(id, 400, &[SEAL])),
    ("206", |id, _| failed(id, 206, &[SEAL, EVENT_STREAM])),
    ("plain text", |id, _| {
        stream(Framing::Chunked, id, &[SEAL, "content-type: text/plain"], "error: overloaded\n\n")
    }),
    ("JSON", |id, _| {
        let body = "{\"error\": \"overloaded\"}\n\n";
        stream(Framing::Chunked, id, &[SEAL, "content-type: application/json"], body)
    }),
    ("other content type", |id, after| {
        let body = events(after + 1..=EVENT_COUNT);
        stream(Framing::Chunked, id, &[SEAL, "content-type: text/html"], &body)
    }),
    ("text in an event stream", |id, _| success(id, "internal server error\n\n")),
    ("field in an event stream", |id, _| success(id, "data: overloaded\n\n")),
    ("unsigned", |id, after| {
        stream(Framing::Chunked, id, &[EVENT_STREAM], &events(after + 1..=EVENT_COUNT))
    }),
    ("other request", |_, after| success("ffff", &events(after + 1..=EVENT_COUNT))),
    ("empty", |id, _| success(id, "")),
    ("from the first event", |id, _| success(id, &events(1..=EVENT_COUNT))),
    ("skipped event", |id, after| success(id, &events(after + 2..=EVENT_COUNT))),
    ("skipped event later", |id, _| success(id, &events([3, 5]))),
    ("repeated last event", |id, after| success(id, &events(after..=EVENT_COUNT))),
    ("repeated event later", |id, _| success(id, &events([3, 3, 4, 5]))),
    ("head within the body", |id, after| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        success(id, &format!("{head}{}", events(after + 1..=EVENT_COUNT)))
    }),
    ("head after an event", |id, _| {
        let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 8\r\n\r\nfailed\n\n";
        success(id, &format!("{}{head}", event(3)))
    }),
];

/// Starts two engines. `respond` gets each request and how often one with its identifier arrived.
async fn start_engines(
    fixture: &Fixture,
    respond: impl Fn(&RawRequest, usize) -> Vec<Step> + Send + Sync + 'static,
) {
    let counts = Arc::new(Mutex::new(IndexMap::<String, usize>::new()));
    let respond = Arc::new(respond);
    for engine in ["i-1", "i-2"] {
        let (counts, respond) = (Arc::clone(&counts), Arc::clone(&respond));
        RawEngine::start(fixture, engine, "advice", &["m1"], move |request| {
            if request.method == "GET" {
                return vec![Step::Send(response(200, "", &[], REPORT))];
            }
            let mut counts = counts.lock();
            let count = counts.entry(request.id.clone()).or_default();
            *count += 1;
            respond(request, *count)
        })
        .await;
    }
}

/// Returns the last event that the caller has; 0 if it has none.
fn last_event(request: &RawRequest) -> u64 {
    let value = request.head.lines().find_map(|line| line.strip_prefix("last-event-id: "));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// What a caller received.
#[derive(Debug, Eq, PartialEq)]
struct Received {
    status: u16,
    seal: Option<String>,
    text: String,
    is_complete: bool,
}

async fn send(fixture: &Fixture, daemon: &Daemon, path: &str, id: &str) -> Received {
    let request = fixture.generation_request(daemon, path, id, "m1");
    receive(request.send().await.expect("a response")).await
}

async fn receive(mut response: Response) -> Received {
    let seal = response.headers().get("corianderyoke-response-seal");
    let seal = seal.map(|value| value.to_str().expect("a text").to_owned());
    let status = response.status().as_u16();
    let mut bytes = Vec::new();
    let is_complete = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8(bytes).expect("a text");
    Received { status, seal, text, is_complete }
}

impl Received {
    /// Returns whether the caller received the first events of a stream, and no end before the last.
    fn is_sound(&self) -> bool {
        let count = self.text.matches("\n\n").count() as u64;
        self.status == 200
            && self.seal.as_deref() == Some("first")
            && self.text == events(1..=count)
            && count >= FIRST_COUNT
            && (!self.is_complete || count == EVENT_COUNT)
    }
}

async fn play(path: &str, framing: Framing, broken: Break, next: Next) -> Received {
    let fixture = Fixture::start().await;
    start_engines(&fixture, move |request, nth| match nth {
        1 => first_response(request, framing, broken),
        2 => next(&request.id, last_event(request)),
        _ => failed(&request.id, 500, &[SEAL]),
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    send(&fixture, &daemon, path, "1").await
}

const BREAKS: [(Framing, Break); 11] = [
    (Framing::Chunked, Break::Closed),
    (Framing::Chunked, Break::ClosedWithinEvent),
    (Framing::Chunked, Break::Reset),
    (Framing::Chunked, Break::ResetWithinEvent),
    (Framing::Chunked, Break::Silent),
    (Framing::Chunked, Break::Error),
    // A body that is closed after an event counts as complete.
    (Framing::Unframed, Break::ClosedWithinEvent),
    (Framing::Unframed, Break::Reset),
    (Framing::Unframed, Break::ResetWithinEvent),
    (Framing::Unframed, Break::Silent),
    (Framing::Unframed, Break::Error),
];

/// Guards against an error that an engine writes into its stream and that is relayed.
#[tokio::test]
async fn stream_that_breaks_off_goes_on_at_another_engine() {
    for (framing, broken) in BREAKS {
        for next in [rest as Next, unframed_rest] {
            let received = play("/resume/", framing, broken, next).await;
            let is_whole = received.is_sound() && received.is_complete;
            assert!(is_whole, "{framing:?} {broken:?}: {received:?}");
        }
    }
}

/// Guards against an end of a stream that looks complete, and an error within the stream.
#[tokio::test]
async fn stream_that_may_not_be_resumed_is_broken_off() {
    for (framing, broken) in BREAKS {
        let received = play("/stream/", framing, broken, rest).await;
        let is_broken = received.is_sound() && !received.is_complete;
        assert!(is_broken, "{framing:?} {broken:?}: {received:?}");
    }
}

/// Guards against a response that isn't the rest of a stream and is relayed within it or ends it.
#[tokio::test]
async fn other_response_is_not_relayed_within_a_resumed_stream() {
    let mut failed = Vec::new();
    for (name, next) in OTHER_RESPONSES {
        let received = play("/resume/", Framing::Chunked, Break::Closed, next).await;
        if !received.is_sound() {
            failed.push((name, received));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a length in the first response that cuts off the events of the next one.
#[tokio::test]
async fn resumed_stream_does_not_have_the_length_of_the_first_response() {
    let fixture = Fixture::start().await;
    // The first response would have ended with its third event.
    let length = events(1..=FIRST_COUNT + 1).len();
    start_engines(&fixture, move |request, nth| {
        if nth > 1 {
            return rest(&request.id, FIRST_COUNT);
        }
        let id = format!("corianderyoke-attempt-id: {}", request.id);
        let head = [FIRST_SEAL, EVENT_STREAM, &id].join("\r\n");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{head}\r\n\r\n");
        vec![Step::Send((head + &events(1..=FIRST_COUNT)).into_bytes()), Step::Close]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    let received = send(&fixture, &daemon, "/resume/", "1").await;
    assert!(received.is_sound() && received.is_complete, "{received:?}");
}

/// Guards against events without ids that another engine sends again from the first one.
#[tokio::test]
async fn stream_without_ids_is_broken_off() {
    const EVENTS: &str = "data: a\n\ndata: b\n\n";
    let fixture = Fixture::start().await;
    start_engines(&fixture, |request, _| {
        let framing = Framing::Chunked;
        let head = framing.head(&request.id, &[FIRST_SEAL, EVENT_STREAM]);
        vec![head, framing.piece(EVENTS), Step::Close]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    let received = send(&fixture, &daemon, "/resume/", "1").await;
    assert_eq!((received.text.as_str(), received.is_complete), (EVENTS, false));
}

/// Bytes that an engine writes after a complete response.
type Extra = fn(&str) -> Vec<u8>;

/// Guards against bytes after a complete stream that become part of a later one.
#[tokio::test]
async fn bytes_after_a_complete_stream_are_in_no_later_one() {
    let extras: [Extra; 4] = [
        |_| event(EVENT_COUNT + 1).into_bytes(),
        |_| format!("7\r\n{}\r\n0\r\n\r\n", event(EVENT_COUNT + 1)).into_bytes(),
        |id| response(500, id, &[SEAL], "failed"),
        |id| response(200, id, &[FIRST_SEAL, EVENT_STREAM], &events(1..=3)),
    ];
    for path in ["/stream/", "/resume/"] {
        for extra in extras {
            for pause in [Duration::ZERO, Duration::from_millis(20)] {
                let fixture = Fixture::start().await;
                RawEngine::start(&fixture, "i-1", "advice", &["m1"], move |request| {
                    if request.method == "GET" {
                        return vec![Step::Send(response(200, "", &[], REPORT))];
                    }
                    let mut steps = stream(
                        Framing::Chunked,
                        &request.id,
                        &[FIRST_SEAL, EVENT_STREAM],
                        &events(1..=EVENT_COUNT),
                    );
                    steps.extend([Step::Pause(pause), Step::Send(extra(&request.id))]);
                    steps
                })
                .await;
                let daemon = fixture.daemon("d1").await;
                for number in 0..6 {
                    let id = format!("{number:x}");
                    let received = send(&fixture, &daemon, path, &id).await;
                    let is_success = received.status == 200;
                    assert!(!is_success || received.is_sound(), "{path}: {received:?}");
                }
            }
        }
    }
}

/// Guards against streams that can't be resumed once they are older than a first event may be.
#[tokio::test]
async fn stream_that_breaks_off_late_goes_on_at_another_engine() {
    // The first event is due within 3.2 s.
    const PAUSE: Duration = Duration::from_millis(1_200);
    let fixture = Fixture::start().await;
    let mut desired = desired_state(2);
    for route in desired["routes"].as_array_mut().expect("a list") {
        route["timeout_ms"] = json!(30_000);
    }
    fixture.store.put("op", "config", desired.to_string().as_bytes());
    start_engines(&fixture, |request, nth| match nth {
        1 => {
            let head = Framing::Chunked.head(&request.id, &[FIRST_SEAL, EVENT_STREAM]);
            let piece = |id| [Framing::Chunked.piece(&event(id)), Step::Pause(PAUSE)];
            std::iter::once(head).chain((1..=3).flat_map(piece)).chain([Step::Close]).collect()
        }
        _ => rest(&request.id, last_event(request)),
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    let (client, request) = request.build_split();
    let mut request = request.expect("a valid request");
    request.headers_mut().insert("corianderyoke-deadline-ms", 30_000.into());
    let received = receive(client.execute(request).await.expect("a response")).await;
    assert!(received.is_sound() && received.is_complete, "{received:?}");
}
