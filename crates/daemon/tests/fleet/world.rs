//! A store, engines and daemons for one test.

use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use crate::engine::Engine;
use crate::store::Store;

/// Time within which everything that a test waits for has to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running daemon.
pub struct Daemon {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of readiness.
    pub ready: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    child: Child,
    file: tempfile::NamedTempFile,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails only where the process ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store and what a test needs to talk to daemons.
pub struct World {
    /// The store.
    pub store: Store,
    address: SocketAddr,
    client: reqwest::Client,
}

impl World {
    /// A store with a desired state of revision 1.
    pub async fn start() -> World {
        let (store, address) = Store::start().await;
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let world = World { store, address, client };
        world.desire(&desired(1));
        world
    }

    /// Writes a desired state.
    pub fn desire(&self, desired: &Value) {
        self.store.put("op", "config", desired.to_string().as_bytes());
    }

    /// An engine of the plain service.
    pub async fn plain(&self, id: &str) -> Engine {
        Engine::start(&self.store, id, "orders", &[]).await
    }

    /// A model engine that holds `models`.
    pub async fn model_engine(&self, id: &str, models: &[&str]) -> Engine {
        Engine::start(&self.store, id, "advice", models).await
    }

    /// A daemon that is ready.
    pub async fn daemon(&self, name: &str) -> Daemon {
        self.daemon_at(name, 200).await
    }

    /// A daemon whose readiness is answered with `status`.
    pub async fn daemon_at(&self, name: &str, status: u16) -> Daemon {
        let started = async {
            loop {
                let mut daemon = self.starting_daemon(name);
                // A port that was free may be taken by another test before the daemon binds it;
                // the daemon says so and ends.
                while !daemon.has_ended() {
                    if self.status(daemon.ready, "/readyz").await == Some(status) {
                        return daemon;
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(PATIENCE, started).await.expect("a daemon answers so in time")
    }

    /// A daemon that was just started.
    fn starting_daemon(&self, name: &str) -> Daemon {
        let [callers, ready, directory, peers, metrics] = [(); 5].map(|()| free());
        let settings = format!(
            "name = \"{name}\"\nzone = \"a\"\nfirst_start = true\nplatform = \"{}\"\n\
             callers = \"{callers}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\nstop_ms = 5000\n",
            self.address
        );
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), settings).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_corianderyoke-daemon"))
            .arg("--config")
            .arg(file.path())
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Daemon { callers, ready, directory, metrics, child, file }
    }

    /// A request of the team to a route; `path` begins with the route's prefix.
    pub fn request(&self, daemon: &Daemon, path: &str, id: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", daemon.callers);
        self.client
            .post(url)
            .header("host", "a.example")
            .header("authorization", "Bearer secret")
            .header("corianderyoke-attempt-id", id)
            .header("corianderyoke-deadline-ms", "4000")
            .body("a body")
    }

    /// A request with a key that nobody holds.
    pub fn stranger(&self, daemon: &Daemon, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", daemon.callers);
        self.client.post(url).header("host", "a.example").header("authorization", "Bearer other")
    }

    /// A request that asks for a model.
    pub fn generation(&self, daemon: &Daemon, path: &str, id: &str, model: &str) -> RequestBuilder {
        self.request(daemon, path, id)
            .header("corianderyoke-model", model)
            .header("corianderyoke-token-count", "100,20")
            .header("corianderyoke-prompt-prefix", "aa:60,bb:40")
    }

    /// The status of a GET; `None` where there is no answer.
    pub async fn status(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let answer = self.client.get(format!("http://{address}{path}")).send().await;
        answer.ok().map(|answer| answer.status().as_u16())
    }

    /// The value of one of a daemon's metrics.
    pub async fn metric(&self, daemon: &Daemon, name: &str) -> Option<f64> {
        let answer = self.client.get(format!("http://{}/metrics", daemon.metrics)).send().await;
        let text = answer.ok()?.text().await.ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// The addresses that a daemon's directory names.
    pub async fn addresses(&self, daemon: &Daemon) -> Vec<String> {
        let url = format!("http://{}/resolve?name=a.example&region=r&zone=a", daemon.directory);
        let Ok(answer) = self.client.get(url).send().await else { return Vec::new() };
        let answer: Value = answer.json().await.unwrap_or_default();
        let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }
}

impl Daemon {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().expect("a process id"));
        kill(pid, signal).expect("the process is there");
    }

    /// Whether the process ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("it can be asked").is_some()
    }

    /// Replaces the settings file.
    pub fn rewrite(&self, text: &str) {
        std::fs::write(self.file.path(), text).expect("the settings are written");
    }
}

/// A desired state: `/once/`, `/again/`, `/stream/` and `/resume/` of host `a.example`.
pub fn desired(revision: u64) -> Value {
    let route = |name: &str, service: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": attempts, "public": false, "resumable": resumable,
            "gap_aim_ms": 400,
        })
    };
    let model = |name: &str| {
        json!({"name": name, "weights_mb": 60000.0, "load_s": 1.0, "disk_s": 0.2,
               "warm_s": 0.1, "adapters": 0, "adapter_mb": 10.0})
    };
    json!({
        "version": revision,
        "routes": [
            route("once", "orders", "non_idempotent", 2, false),
            route("again", "orders", "idempotent", 2, false),
            route("stream", "advice", "streaming", 1, false),
            route("resume", "advice", "streaming", 2, true),
        ],
        "services": [
            {"name": "orders", "health_path": "/healthz", "max_conns": 50, "cold_per_s": 0.0},
            {"name": "advice", "health_path": "/healthz", "max_conns": 50, "cold_per_s": 0.0,
             "engine": {"slots": 8, "kv_capacity": 100000, "weights_mb": 100000.0,
                        "adapter_slots": 2, "loads_per_s": 5.0,
                        "models": [model("m1"), model("m2")]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": ["secret"], "priority": 2,
                     "unit": "token_budget", "plain_tokens": 100,
                     "rate_per_s": 1000.0, "burst": 100000.0}],
    })
}

/// The cause of a refusal, as its status and whether it says when to come back.
pub fn refusal(answer: &Response) -> (u16, bool) {
    (answer.status().as_u16(), answer.headers().contains_key("retry-after"))
}

/// Waits until `holds` does.
pub async fn until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let waited = async {
        while !holds().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waited).await.expect("it happens in time");
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}
