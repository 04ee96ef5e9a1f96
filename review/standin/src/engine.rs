//! Engine of a service: serves requests as a case tells it, and holds models and adapters as it is
//! ordered.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Head;
use crate::json::Value;
use crate::record::Record;
use crate::store::Store;

/// Interval between two writes of the entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a crashed engine is back.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Interval between two checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// What an engine can hold, and what it holds at its start.
#[derive(Clone, Default)]
pub struct Memory {
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: u64,
    pub adapter_slots: usize,
    pub adapter_mb: u64,
    /// Models that the engine can load, with their sizes in MB.
    pub models: Vec<(&'static str, u64)>,
}

/// Handles a request. Returns whether the connection may be kept.
pub type Handler = dyn Fn(&Engine, &mut Connection, &Head) -> bool + Send + Sync;

#[derive(Default)]
struct State {
    /// Held models, each with its adapters.
    models: Vec<(String, Vec<String>)>,
    /// Number of accepted orders.
    seq: u64,
    /// Highest fencing token seen.
    fence: u64,
    born_ms: u128,
    beats: u64,
    /// Number of crashes.
    crashes: u64,
    /// Connections of the present process, which a crash closes.
    connections: Vec<TcpStream>,
    /// Orders beyond the memory or the adapter slots.
    excesses: Vec<String>,
}

/// Engine of a service.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    memory: Memory,
    store: Arc<Store>,
    handler: Box<Handler>,
    state: Mutex<State>,
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

impl Engine {
    /// Starts an engine on a free port, with all models of `memory` loaded.
    pub fn start(
        id: &str,
        service: &str,
        memory: Memory,
        store: &Arc<Store>,
        record: &Arc<Record>,
        handler: Box<Handler>,
    ) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let models = memory.models.iter().map(|(name, _)| ((*name).to_owned(), Vec::new()));
        let state = State { models: models.collect(), born_ms: now_ms(), ..State::default() };
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            record: Arc::clone(record),
            memory,
            store: Arc::clone(store),
            handler,
            state: Mutex::new(state),
        });
        engine.write_entry();
        let accepting = Arc::clone(&engine);
        thread::spawn(move || accepting.accept(listener));
        let beating = Arc::clone(&engine);
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if !beating.is_down() {
                beating.write_entry();
            }
        });
        Ok(engine)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_down(&self) -> bool {
        self.lock().born_ms == 0
    }

    /// Returns the number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Returns the orders beyond the engine's memory or adapter slots.
    pub fn excesses(&self) -> Vec<String> {
        self.lock().excesses.clone()
    }

    /// Returns how many adapters the engine holds, and how much of its memory is used, in MB.
    pub fn usage(&self) -> (usize, u64) {
        self.used(&self.lock())
    }

    fn used(&self, state: &State) -> (usize, u64) {
        let size = |held: &str| {
            let known = self.memory.models.iter().find(|(name, _)| *name == held);
            known.map_or(0, |(_, size)| *size)
        };
        let adapters: usize = state.models.iter().map(|(_, adapters)| adapters.len()).sum();
        let weights: u64 = state.models.iter().map(|(model, _)| size(model)).sum();
        (adapters, weights + adapters as u64 * self.memory.adapter_mb)
    }

    /// Returns whether the engine holds a model, and the adapter if one is named after a slash.
    pub fn holds(&self, wanted: &str) -> bool {
        let (model, adapter) = wanted.split_once('/').unwrap_or((wanted, ""));
        let state = self.lock();
        let held = state.models.iter().find(|(name, _)| name == model);
        held.is_some_and(|(_, held)| adapter.is_empty() || held.iter().any(|name| name == adapter))
    }

    fn models_json(state: &State) -> String {
        let models = state.models.iter().map(|(name, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|name| format!("\"{name}\"")).collect();
            let adapters = adapters.join(",");
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}")
        });
        models.collect::<Vec<_>>().join(",")
    }

    fn write_entry(&self) {
        let entry = {
            let mut state = self.lock();
            state.beats += 1;
            let (models, beats, born) = (Engine::models_json(&state), state.beats, state.born_ms);
            let (service, address) = (&self.service, self.address);
            let disk = self.memory.models.iter().map(|(name, _)| format!("\"{name}\""));
            let disk = disk.collect::<Vec<_>>().join(",");
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hofdi\",\
                 \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"stage\":\"both\",\"models\":[{models}],\"seq\":{beats},\"born\":{born},\
                 \"at_hand\":{{\"in_memory\":[],\"on_disk\":[{disk}]}}}}"
            )
        };
        self.store.put("servers", &self.id, &entry);
    }

    /// Accepts connections. After a crash, the engine refuses them until it is back, empty.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let Some(open) = &listener else {
                thread::sleep(RESTART_TIME);
                listener = TcpListener::bind(self.address).ok();
                if listener.is_some() {
                    self.lock().born_ms = now_ms();
                    self.record.write(&format!("engine {} is back, empty", self.id));
                    self.write_entry();
                }
                continue;
            };
            if open.set_nonblocking(true).is_err() {
                return;
            }
            let accepted = open.accept();
            if self.is_down() {
                listener = None;
                continue;
            }
            let Ok((stream, _)) = accepted else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            if stream.set_nonblocking(false).is_err() {
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                self.lock().connections.push(copy);
            }
            let engine = Arc::clone(&self);
            thread::spawn(move || engine.serve(Connection::new(stream)));
        }
    }

    fn crash(&self) {
        let connections = {
            let mut state = self.lock();
            state.crashes += 1;
            state.born_ms = 0;
            state.seq = 0;
            state.fence = 0;
            state.models.clear();
            std::mem::take(&mut state.connections)
        };
        self.record.write(&format!("engine {} crashes", self.id));
        for connection in connections {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(head) = connection.read_head() {
            let Some(body) = connection.read_body(&head) else { return };
            let expected = head.header("corianderyoke-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let headers = format!("Corianderyoke-Instance-Id: {}\r\n", self.id);
                if !connection.respond(421, &headers, b"") {
                    return;
                }
                continue;
            }
            let is_kept = match head.word(1) {
                "/order" => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let status = self.order(&text);
                    status.is_some_and(|status| connection.respond(status, "", b""))
                }
                "/report" => {
                    let report = self.report();
                    connection.respond(200, "Content-Type: application/json\r\n", report.as_bytes())
                }
                "/healthz" => {
                    let headers = format!("Corianderyoke-Instance-Id: {}\r\n", self.id);
                    connection.respond(200, &headers, b"")
                }
                _ => (self.handler)(self, &mut connection, &head),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.lock();
        let (models, seq, born) = (Engine::models_json(&state), state.seq, state.born_ms);
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":false,\"seq\":{seq},\"queued\":0,\
             \"in_flight\":0,\"kv_used\":0,\"kv_total\":236735,\"handles\":0,\"coming\":[],\
             \"born\":{born}}}"
        )
    }

    /// Carries out an order at once. Returns the status, or `None` if the engine crashed.
    fn order(&self, text: &str) -> Option<u16> {
        let order = Value::parse(text)?;
        let (model, adapter) = (order.text("model").to_owned(), order.text("adapter").to_owned());
        let token = order.number("fencing_token")?;
        let status = {
            let mut state = self.lock();
            if token < state.fence {
                412
            } else if order.number("expected").is_some_and(|expected| expected != state.seq) {
                409
            } else {
                state.fence = token;
                state.seq += 1;
                let is_load = order.text("op_type") == "load";
                apply(&mut state.models, &model, &adapter, is_load);
                if is_load || adapter.is_empty() {
                    202
                } else {
                    200
                }
            }
        };
        let (adapters, used) = self.usage();
        let Memory { weights_mb, adapter_slots, .. } = self.memory;
        let line = format!(
            "order at {}: {text} answered {status}; holds {adapters} of {adapter_slots} adapters, \
             {used} of {weights_mb} MB",
            self.id
        );
        self.record.write(&line);
        if adapters > adapter_slots || used > weights_mb {
            self.lock().excesses.push(line);
            self.crash();
            return None;
        }
        self.write_entry();
        Some(status)
    }
}

fn apply(models: &mut Vec<(String, Vec<String>)>, model: &str, adapter: &str, is_load: bool) {
    let position = models.iter().position(|(name, _)| name == model);
    match (position, adapter.is_empty(), is_load) {
        (None, true, true) => models.push((model.to_owned(), Vec::new())),
        (Some(position), true, false) => {
            models.remove(position);
        }
        (Some(position), false, true) => {
            models[position].1.retain(|name| name != adapter);
            models[position].1.push(adapter.to_owned());
        }
        (Some(position), false, false) => models[position].1.retain(|name| name != adapter),
        _ => {}
    }
}
