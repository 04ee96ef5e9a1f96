//! Tests of the operators' command line with a stand-in of the platform: every subcommand,
//! concurrent operators and lost responses. They also test the reader with which daemons follow the
//! configuration.

mod failures;
mod live;
mod races;
mod subcommands;

use std::path::Path;
use std::process::Command;
use std::process::Output;

use corianderyoke_http::Running;
use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_platform::memory::MemoryPlatform;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_standin::platform;
use corianderyoke_standin::platform::Server;
use rocket::get;
use rocket::routes;
use serde_json::json;
use serde_json::Value;
use tempfile::TempDir;

/// Timeout of the command line's calls to the platform, in milliseconds.
const TIMEOUT_MS: u64 = 250;

const REGISTER: &str = r#"
[zones.north]
[zones.south]

[upstreams.engine-1]
zone = "north"
address = "10.0.0.1:8000"
memory_bytes = 24_000_000_000

[models.summary]
bytes = 8_000_000_000
bytes_per_token = 2.0

[teams.depots]
rate = 1000
burst = 8192

[keys.depots-1]
team = "depots"
digest = "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb"
"#;

const RULES: &str = r#"
[grants.depots]
models = ["summary"]

[rules]
deadline_ms = 10_000
"#;

/// Stand-in of the platform, and a directory with files for the command line.
struct Fixture {
    server: Server,
    dir: TempDir,
}

impl Fixture {
    async fn empty() -> Fixture {
        let server = platform::serve(platform::Settings::default()).await.unwrap();
        let dir = tempfile::tempdir().unwrap();
        let settings = format!(
            "platform = \"{}\"\ntimeout_ms = {TIMEOUT_MS}\noperator = \"tester\"\nwait_s = 1\n",
            server.running.address
        );
        let fixture = Fixture { server, dir };
        fixture.write("corianderyoke.toml", &settings);
        fixture.write("register.toml", REGISTER);
        fixture.write("rules.toml", RULES);
        fixture
    }

    /// Starts a stand-in with the configuration at revision 1.
    async fn configured() -> Fixture {
        let fixture = Fixture::empty().await;
        let output = fixture.run(&["apply", "register.toml", "rules.toml"]).await;
        assert!(output.status.success(), "{}", show(&output));
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.dir.path().join(name), text).unwrap();
    }

    /// Runs the command line in the directory with the stand-in as its platform.
    async fn run(&self, args: &[&str]) -> Output {
        let mut args: Vec<String> = args.iter().map(|&arg| arg.to_owned()).collect();
        args.extend(["--config".to_owned(), "corianderyoke.toml".to_owned()]);
        run(self.dir.path(), args).await
    }

    async fn show(&self, args: &[&str]) -> String {
        show(&self.run(args).await)
    }

    fn inject_fault(&self, fault: Fault) {
        self.server.store.faults().order(Order { fault, span_ms: None });
    }

    fn clear_faults(&self) {
        self.server.store.faults().clear();
    }

    fn platform(&self) -> MemoryPlatform {
        MemoryPlatform::new(self.server.store.clone())
    }

    async fn put(&self, table: &str, key: &str, value: Value) {
        let value = value.to_string();
        let write = Write::Put { table: table.into(), key: key.into(), value };
        let transaction = Transaction { writes: vec![write], ..Transaction::default() };
        self.platform().transact(&transaction).await.unwrap();
    }

    /// Adds the row of a router. `ops_addr` is its address for operators, see [`serve_member`].
    async fn add_router(&self, name: &str, ops_addr: &str) {
        let row = json!({
            "role": "router", "zone": "north", "ops_addr": ops_addr, "state": "ready",
        });
        self.put("members", name, row).await;
    }
}

async fn run(dir: &Path, args: Vec<String>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corianderyoke"));
    command.current_dir(dir).args(args);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

/// Returns the exit code and both output streams, with values that differ between runs redacted.
fn show(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().unwrap();
    format!("exit {code}\n--- stdout\n{}--- stderr\n{}", redact(&out), redact(&err))
}

/// Replaces times, identifiers, secrets and loopback addresses by placeholders.
fn redact(text: &str) -> String {
    let in_token = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':' | '.' | '-');
    let mut redacted = String::new();
    let mut token = String::new();
    for c in text.chars() {
        if in_token(c) {
            token.push(c);
            continue;
        }
        redacted.push_str(&redact_token(&token));
        token.clear();
        redacted.push(c);
    }
    redacted + &redact_token(&token)
}

fn redact_token(token: &str) -> String {
    let is_hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let id = token.rsplit_once('-').filter(|(_, id)| id.len() == 16 && is_hex(id));
    match token {
        _ if token.starts_with("ck_") => "[secret]".into(),
        _ if token.starts_with("127.0.0.1:") => "[address]".into(),
        _ if token.len() == 20 && token.ends_with('Z') && token.contains('T') => "[time]".into(),
        _ if token.len() == 10 && token.starts_with('1') && is_hex(token) => "[time]".into(),
        _ if token.len() == 16 && is_hex(token) => "[id]".into(),
        _ => match id {
            Some((name, _)) => format!("{name}-[id]"),
            None => token.into(),
        },
    }
}

/// Starts a member that responds to operators with its name and revision.
async fn serve_member(name: &'static str, revision: u64) -> Running {
    let address = "127.0.0.1:0".parse().unwrap();
    let response = json!({ "name": name, "revision": revision }).to_string();
    let rocket = rocket::custom(corianderyoke_http::config(address))
        .manage(response)
        .mount("/", routes![member_status, member_explain]);
    corianderyoke_http::launch(rocket, address).await.unwrap()
}

#[get("/status")]
fn member_status(response: &rocket::State<String>) -> String {
    response.inner().clone()
}

#[get("/explain?<team>&<model>")]
fn member_explain(team: &str, model: &str) -> String {
    json!({ "team": team, "model": model, "upstream": "engine-1", "grounds": "loaded" }).to_string()
}
