//! Stops a daemon while engines pause within streams, as they do when they preempt a run. The
//! engines go on before callers would give up, and end well within the time of the stop.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standin::engine::Engine;
use review_standin::engine::Memory;
use review_standin::http::Connection;
use review_standin::http::Head;
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::world;
use review_standin::world::Daemon;

/// Concurrent streams.
const STREAMS: usize = 4;
/// Events of a stream.
const EVENTS: u64 = 20;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(200);
/// Event after which a run is preempted once.
const PREEMPTED_AFTER: u64 = 14;
/// Event after which the daemon is stopped.
const STOPPED_AFTER: u64 = 5;
/// Length of the preemption. Callers give up after 4 s: the longest of 2 s, four times the objective
/// and eight times the pause that the route allows.
const PREEMPTION: Duration = Duration::from_millis(2_800);
/// Time after the stop from which on a cut doesn't count: five sixths of the time until the platform
/// kills the process.
const COUNTED: Duration = Duration::from_millis(6_666);
/// Longest wait of a caller for the next event.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"counter-stream","host":"a.example",
"prefix":"/counter/","kind":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":0,
"service":"glerrad","max_attempts":2,"public":false,"sticky":true,"resumable":true,
"gap_aim_ms":500}],"services":[{"name":"glerrad","health_path":"/healthz","max_conns":370,
"cold_start_s":0,"cold_per_s":0,"engine":{"slots":64,"kv_capacity":236735,"weights_mb":160000,
"adapter_slots":8,"loads_per_s":2.8,"models":[{"name":"m1","weights_mb":72700,"load_s":6,
"adapters":0,"adapter_mb":66,"warm_s":0.3,"disk_s":0.4}]}}],"limits":{"max_header_bytes":16384,
"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000},"tenants":[{"name":
"t1","api_keys":["key1"],"priority":0,"unit":"token_budget","plain_tokens":200,"rate_per_s":0,
"burst":0}]}"#;

/// Serves a stream from the event after `Last-Event-Id`. A run that began at the first event is
/// preempted once. A run ends when its connection closes.
fn stream(engine: &Engine, connection: &mut Connection, head: &Head) -> bool {
    let id = head.header("corianderyoke-attempt-id").unwrap_or_default().to_owned();
    let after = head.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    let name = engine.id.clone();
    let record = |line: &str| engine.record.write(&format!("engine {name}, request {id}: {line}"));
    record(&format!("runs after event {after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCorianderyoke-Attempt-Id: {id}\r\n\
         Corianderyoke-Response-Seal: seal\r\nCorianderyoke-Weight-Versions: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = connection.write(head.as_bytes());
    for event in after + 1..=EVENTS {
        let is_preempted = after == 0 && event == PREEMPTED_AFTER + 1;
        if is_preempted {
            record(&format!("is preempted for {} ms", PREEMPTION.as_millis()));
        }
        let until = Instant::now() + if is_preempted { PREEMPTION } else { EVENT_GAP };
        while is_open && Instant::now() < until {
            let left =
                until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            is_open =
                connection.stream.set_read_timeout(Some(left)).is_ok() && !connection.is_closed();
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && connection.write(chunk.as_bytes());
        if !is_open {
            record(&format!("its connection was closed before event {event}; the run is dropped"));
            return false;
        }
        if is_preempted {
            record("goes on");
        }
    }
    record("is complete");
    connection.write(b"0\r\n\r\n") && connection.stream.set_read_timeout(None).is_ok()
}

/// How a stream ended at its caller.
struct End {
    events: u64,
    is_whole: bool,
    cause: String,
    at: Instant,
}

/// Sends a request and reads its stream. Reports each event to `seen`.
fn call(daemon: SocketAddr, id: &str, seen: &mpsc::Sender<u64>) -> Result<End, String> {
    let stream = TcpStream::connect(daemon).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(CALLER_PATIENCE)).map_err(|error| error.to_string())?;
    let mut connection = Connection::new(stream);
    let body = "{\"prompt\":\"counter\"}";
    let request = format!(
        "POST /counter/2f HTTP/1.1\r\nHost: a.example\r\nCorianderyoke-Attempt-Id: {id}\r\n\
         Corianderyoke-Model: m1\r\nCorianderyoke-Token-Count: 826,420\r\n\
         Corianderyoke-Prompt-Prefix: 5c1e07a2:198,{id}:628\r\nCorianderyoke-Deadline-Ms: 15000\r\n\
         Authorization: Bearer key1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(request.as_bytes());
    let head = connection.read_head().ok_or("no response")?;
    if head.word(1) != "200" {
        return Err(format!("answered {}", head.first));
    }
    let mut events = 0;
    loop {
        let begin = Instant::now();
        let Some(chunk) = connection.read_chunk() else {
            let cause = if begin.elapsed() >= CALLER_PATIENCE { "silent" } else { "closed" };
            return Ok(End {
                events,
                is_whole: false,
                cause: cause.to_owned(),
                at: Instant::now(),
            });
        };
        if chunk.is_empty() {
            let at = Instant::now();
            return Ok(End { events, is_whole: true, cause: "ended".to_owned(), at });
        }
        events += String::from_utf8_lossy(&chunk).matches("id: ").count() as u64;
        let _ = seen.send(events);
    }
}

fn run() -> Result<bool, String> {
    let folder = std::env::args().nth(1).ok_or("usage: silent_stream FOLDER RECORD")?;
    let path = std::env::args().nth(2).ok_or("usage: silent_stream FOLDER RECORD")?;
    let record = Record::create(Path::new(&path)).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    let trouble = world::has_trouble();
    record.write(&format!("silent_stream, with the stop: {trouble}"));
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", CONFIG);
    let memory = Memory {
        weights_mb: 160_000,
        adapter_slots: 8,
        adapter_mb: 66,
        models: vec![("m1", 72_700)],
    };
    let mut engines = Vec::new();
    for id in ["i-engine1", "i-engine2"] {
        let handler = Box::new(stream);
        let engine = Engine::start(id, "glerrad", memory.clone(), &store, &record, handler);
        engines.push(engine.map_err(|error| error.to_string())?);
    }
    let mut daemons = Vec::new();
    for name in ["edge-hofdi-1", "edge-hofdi-2"] {
        daemons.push(Daemon::start(name, store.address, Path::new(&folder))?);
    }
    thread::sleep(Duration::from_secs(1));
    let daemon = &daemons[0];
    let (seen, events) = mpsc::channel();
    let callers: Vec<_> = (0..STREAMS)
        .map(|index| {
            let (address, seen, record) = (daemon.callers, seen.clone(), Arc::clone(&record));
            thread::spawn(move || {
                let id = format!("9c41d07be2a35f{index:02}");
                record.write(&format!("caller: request {id} sent"));
                let end = call(address, &id, &seen);
                match &end {
                    Ok(End { events, is_whole, cause, .. }) => record.write(&format!(
                        "caller: request {id}: {events} of {EVENTS} events, whole: {is_whole}, \
                         {cause}"
                    )),
                    Err(error) => record.write(&format!("caller: request {id}: {error}")),
                }
                end
            })
        })
        .collect();
    drop(seen);
    let mut stopped = None;
    if trouble {
        while events.recv().map_err(|_| "no event arrived")? < STOPPED_AFTER {}
        record.write(&format!("SIGTERM to {}", daemon.name));
        if !daemon.terminate() {
            return Err("the signal can't be sent".to_owned());
        }
        stopped = Some(Instant::now());
    }
    let mut is_broken = false;
    for caller in callers {
        let end = caller.join().map_err(|_| "a caller failed")??;
        let is_counted = stopped.is_none_or(|stopped| end.at < stopped + COUNTED);
        is_broken |= !end.is_whole && end.cause == "closed" && is_counted;
    }
    let verdict = if is_broken { "broken" } else { "held" };
    record.write(&format!("LOST: {verdict}"));
    Ok(is_broken)
}

fn main() {
    world::limit_time();
    // The daemons end with their owner before the process exits.
    let result = run();
    world::finish(result)
}
