//! Asks for rarely used adapters of a loaded model beside the usual ones, while the engines' memory for
//! weights leaves room for some of them only. Streams run beside that.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standin::engine::Engine;
use review_standin::engine::Memory;
use review_standin::http::Connection;
use review_standin::http::Head;
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::world;
use review_standin::world::Daemon;

/// Requests for adapters. With rare ones each is for another adapter, else two are for each usual one.
const REQUESTS: usize = 16;
const USUAL_ADAPTERS: usize = 8;
/// Time between two of these requests, with rare adapters and without.
const REQUEST_GAP: Duration = Duration::from_millis(131);
/// Events of the streams that run beside that, and the time between two of them.
const EVENTS: u64 = 25;
const EVENT_GAP: Duration = Duration::from_millis(200);
/// Longest wait of a caller for the next event.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);
/// Room of each engine beside its models is 400 MB: six adapters.
const MODELS: [(&str, u64); 4] = [("m1", 34_300), ("m2", 34_300), ("m3", 65_500), ("m4", 65_500)];

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"counter-stream","host":"a.example",
"prefix":"/counter/","kind":"streaming","timeout_ms":10000,"target_latency_ms":400,"priority":0,
"service":"glerrad","max_attempts":2,"public":false,"sticky":true,"resumable":true,
"gap_aim_ms":500},{"name":"claim-match","host":"a.example","prefix":"/claim/","kind":"streaming",
"timeout_ms":11000,"target_latency_ms":2000,"priority":1,"service":"glerrad","max_attempts":1,
"public":false,"sticky":true,"resumable":false,"gap_aim_ms":500}],"services":[{"name":"glerrad",
"health_path":"/healthz","max_conns":370,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":64,
"kv_capacity":236735,"weights_mb":200000,"adapter_slots":8,"loads_per_s":2.8,"models":[
{"name":"m1","weights_mb":34300,"load_s":6,"adapters":20,"adapter_mb":66,"warm_s":0.3,"disk_s":0.4},
{"name":"m2","weights_mb":34300,"load_s":6,"adapters":0,"adapter_mb":66,"warm_s":0.3,"disk_s":0.4},
{"name":"m3","weights_mb":65500,"load_s":6,"adapters":0,"adapter_mb":66,"warm_s":0.3,"disk_s":0.4},
{"name":"m4","weights_mb":65500,"load_s":6,"adapters":0,"adapter_mb":66,"warm_s":0.3,"disk_s":0.4}]
}}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,
"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key1"],"priority":0,"unit":
"token_budget","plain_tokens":200,"rate_per_s":0,"burst":0}]}"#;

/// Serves a stream, or refuses it if the model or adapter isn't held.
fn stream(engine: &Engine, connection: &mut Connection, head: &Head) -> bool {
    let id = head.header("corianderyoke-attempt-id").unwrap_or_default().to_owned();
    let wanted = head.header("corianderyoke-model").unwrap_or_default().to_owned();
    let after = head.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    if !engine.holds(&wanted) {
        let headers =
            format!("Corianderyoke-Attempt-Id: {id}\r\nCorianderyoke-Not-Executed: 1\r\n");
        return connection.respond(421, &headers, b"");
    }
    let crashes = engine.crashes();
    let record = |line: &str| {
        engine.record.write(&format!("engine {}, request {id} for {wanted}: {line}", engine.id));
    };
    record(&format!("runs after event {after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCorianderyoke-Attempt-Id: {id}\r\n\
         Corianderyoke-Response-Seal: seal\r\nCorianderyoke-Weight-Versions: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = connection.write(head.as_bytes());
    let events = if wanted.contains('/') { 3 } else { EVENTS };
    for event in after + 1..=events {
        thread::sleep(EVENT_GAP);
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && connection.write(chunk.as_bytes());
        if engine.crashes() > crashes {
            record(&format!("lost in a crash before event {event}"));
            return false;
        }
        if !is_open {
            record(&format!("its connection was closed before event {event}"));
            return false;
        }
    }
    record("is complete");
    connection.write(b"0\r\n\r\n")
}

/// Sends a request and reads its stream. Returns how it ended.
fn call(daemon: SocketAddr, route: &str, id: &str, model: &str) -> Result<String, String> {
    let stream = TcpStream::connect(daemon).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(CALLER_PATIENCE)).map_err(|error| error.to_string())?;
    let mut connection = Connection::new(stream);
    let body = "{\"prompt\":\"counter\"}";
    let request = format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: a.example\r\nCorianderyoke-Attempt-Id: {id}\r\n\
         Corianderyoke-Model: {model}\r\nCorianderyoke-Token-Count: 826,420\r\n\
         Corianderyoke-Prompt-Prefix: 5c1e07a2:198,{id}:628\r\nCorianderyoke-Deadline-Ms: 10000\r\n\
         Authorization: Bearer key1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(request.as_bytes());
    let Some(head) = connection.read_head() else { return Ok("no response".to_owned()) };
    if head.word(1) != "200" {
        return Ok(format!("answered {}", head.first));
    }
    let mut events = 0;
    loop {
        let Some(chunk) = connection.read_chunk() else {
            return Ok(format!("cut after {events} events"));
        };
        if chunk.is_empty() {
            return Ok(format!("complete with {events} events"));
        }
        events += String::from_utf8_lossy(&chunk).matches("id: ").count();
    }
}

fn run() -> Result<bool, String> {
    let folder = std::env::args().nth(1).ok_or("usage: adapter_memory FOLDER RECORD")?;
    let path = std::env::args().nth(2).ok_or("usage: adapter_memory FOLDER RECORD")?;
    let record = Record::create(Path::new(&path)).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    let trouble = world::has_trouble();
    record.write(&format!("adapter_memory, with rare adapters: {trouble}"));
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", CONFIG);
    let memory =
        Memory { weights_mb: 200_000, adapter_slots: 8, adapter_mb: 66, models: MODELS.to_vec() };
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
    // A lease holder is chosen 1.5 s after the start.
    thread::sleep(Duration::from_secs(3));
    let addresses: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
    let mut callers = Vec::new();
    let mut send = |index: usize, route: &'static str, model: String| {
        let (address, record) = (addresses[index % addresses.len()], Arc::clone(&record));
        callers.push(thread::spawn(move || {
            let id = format!("9c41d07be2a35f{index:02}");
            record.write(&format!("caller: request {id} for {model} sent on {route}"));
            let end = call(address, route, &id, &model);
            let text = end.unwrap_or_else(|error| error);
            record.write(&format!("caller: request {id} for {model}: {text}"));
        }));
    };
    for index in 0..4 {
        send(index, "claim", format!("m{}", index + 1));
    }
    thread::sleep(Duration::from_millis(500));
    let adapters = if trouble { REQUESTS } else { USUAL_ADAPTERS };
    for index in 0..REQUESTS {
        send(10 + index, "counter", format!("m1/a{}", index % adapters + 1));
        thread::sleep(REQUEST_GAP);
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller failed")?;
    }
    let excesses: Vec<String> = engines.iter().flat_map(|engine| engine.excesses()).collect();
    for engine in &engines {
        let (adapters, used) = engine.usage();
        let crashes = engine.crashes();
        let id = &engine.id;
        record
            .write(&format!("{id} at the end: {adapters} adapters, {used} MB, {crashes} crashes"));
    }
    record.write(&format!("LIMIT: {} orders beyond an engine's memory", excesses.len()));
    Ok(!excesses.is_empty())
}

fn main() {
    world::limit_time();
    world::finish(run())
}
