//! The operators' command line against a stand-in of the platform: every subcommand, racing
//! operators, lost answers, and what a daemon's reader makes of it.

use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use corianderyoke::ops::config::commands;
use corianderyoke::ops::config::queries;
use corianderyoke::ops::config::Author;
use corianderyoke::ops::config::ConfigReader;
use corianderyoke::ops::config::Snapshot;
use corianderyoke_coord::register::Revision;
use corianderyoke_http::Running;
use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_platform::memory::MemoryPlatform;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Instance;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Result as StoreResult;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_standin::platform;
use corianderyoke_standin::platform::Server;
use rocket::get;
use rocket::routes;
use serde_json::json;
use serde_json::Value;
use tempfile::TempDir;

/// Milliseconds that the command line waits for an answer of the platform.
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

/// A stand-in and a directory with files for the command line.
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

    /// A stand-in with the configuration at revision 1.
    async fn configured() -> Fixture {
        let fixture = Fixture::empty().await;
        let output = fixture.run(&["apply", "register.toml", "rules.toml"]).await;
        assert!(output.status.success(), "{}", show(&output));
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.dir.path().join(name), text).unwrap();
    }

    /// Runs the command line in the directory, beside the stand-in.
    async fn run(&self, args: &[&str]) -> Output {
        let mut args: Vec<String> = args.iter().map(|&arg| arg.to_owned()).collect();
        args.extend(["--config".to_owned(), "corianderyoke.toml".to_owned()]);
        run(self.dir.path(), args).await
    }

    async fn show(&self, args: &[&str]) -> String {
        show(&self.run(args).await)
    }

    fn order(&self, fault: Fault) {
        self.server.store.faults().order(Order { fault, span_ms: None });
    }

    fn clear(&self) {
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

    /// Adds a router's row whose operators' address answers as [`member`] does.
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

/// Exit code and both streams, with what differs from run to run replaced.
fn show(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().unwrap();
    format!("exit {code}\n--- stdout\n{}--- stderr\n{}", stable(&out), stable(&err))
}

/// Replaces times, ids, secrets and loopback addresses.
fn stable(text: &str) -> String {
    let in_token = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':' | '.' | '-');
    let mut stable = String::new();
    let mut token = String::new();
    for c in text.chars() {
        if in_token(c) {
            token.push(c);
            continue;
        }
        stable.push_str(&stable_token(&token));
        token.clear();
        stable.push(c);
    }
    stable + &stable_token(&token)
}

fn stable_token(token: &str) -> String {
    let is_hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let id = token.rsplit_once('-').filter(|(_, id)| id.len() == 16 && is_hex(id));
    match token {
        _ if token.starts_with("ck_") => "[secret]".into(),
        _ if token.starts_with("127.0.0.1:") => "[address]".into(),
        _ if token.len() == 20 && token.ends_with('Z') && token.contains('T') => "[time]".into(),
        _ if token.len() == 10 && token.bytes().all(|b| b.is_ascii_digit()) => "[time]".into(),
        _ if token.len() == 16 && is_hex(token) => "[id]".into(),
        _ => match id {
            Some((name, _)) => format!("{name}-[id]"),
            None => token.into(),
        },
    }
}

/// Starts a member that answers operators.
async fn member(name: &'static str, revision: u64) -> Running {
    let address = "127.0.0.1:0".parse().unwrap();
    let answer = json!({ "name": name, "revision": revision }).to_string();
    let rocket = rocket::custom(corianderyoke_http::config(address))
        .manage(answer)
        .mount("/", routes![member_status, member_explain]);
    corianderyoke_http::launch(rocket, address).await.unwrap()
}

#[get("/status")]
fn member_status(answer: &rocket::State<String>) -> String {
    answer.inner().clone()
}

#[get("/explain?<team>&<model>")]
fn member_explain(team: &str, model: &str) -> String {
    json!({ "team": team, "model": model, "upstream": "engine-1", "grounds": "loaded" }).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn help_and_version() {
    let fixture = Fixture::empty().await;
    insta::assert_snapshot!("help", fixture.show(&["--help"]).await);
    insta::assert_snapshot!("version", fixture.show(&["--version"]).await);
    insta::assert_snapshot!("usage", fixture.show(&["aply"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_checked_as_a_whole() {
    let fixture = Fixture::empty().await;
    insta::assert_snapshot!("settings_good", fixture.show(&["--check"]).await);
    let text = "platfrom = \"1\"\nplatform = \"here\"\ntimeout_ms = 0\nwait_s = \"long\"\n";
    fixture.write("corianderyoke.toml", text);
    insta::assert_snapshot!("settings_bad", fixture.show(&["--check"]).await);
    insta::assert_snapshot!("settings_bad_json", fixture.show(&["--check", "--json"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn check() {
    let fixture = Fixture::empty().await;
    insta::assert_snapshot!("check", fixture.show(&["check", "register.toml", "rules.toml"]).await);
    fixture.write("rules.toml", "[grants.depot]\nmodels = [\"sumary\"]\n[rule]\n");
    insta::assert_snapshot!(
        "check_bad_file",
        fixture.show(&["check", "register.toml", "rules.toml"]).await
    );
    fixture.write("rules.toml", "[grants.depot]\nmodels = [\"sumary\"]\n");
    insta::assert_snapshot!(
        "check_bad_set",
        fixture.show(&["check", "register.toml", "rules.toml"]).await
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn diff() {
    let fixture = Fixture::configured().await;
    fixture.write("register.toml", &REGISTER.replace("rate = 1000", "rate = 900"));
    fixture.write("rules.toml", "[grants]\n");
    insta::assert_snapshot!("diff", fixture.show(&["diff", "register.toml", "rules.toml"]).await);
    insta::assert_snapshot!("diff_json", fixture.show(&["diff", "register.toml", "--json"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply() {
    let fixture = Fixture::empty().await;
    let both = ["apply", "register.toml", "rules.toml"];
    insta::assert_snapshot!("apply_first", fixture.show(&both).await);
    insta::assert_snapshot!("apply_again", fixture.show(&both).await);
    fixture.write("rules.toml", &RULES.replace("10_000", "20_000"));
    let based = ["apply", "rules.toml", "--base", "1", "--json"];
    insta::assert_snapshot!("apply_rules_only", fixture.show(&based).await);
    insta::assert_snapshot!("apply_old_base", fixture.show(&based[..4]).await);
    fixture.write("rules.toml", "[grants.depots]\nmodels = [\"other\"]\n");
    insta::assert_snapshot!("apply_bad", fixture.show(&["apply", "rules.toml"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn get() {
    let fixture = Fixture::configured().await;
    insta::assert_snapshot!("get", fixture.show(&["get"]).await);
    insta::assert_snapshot!("get_one", fixture.show(&["get", "team/depots", "--json"]).await);
    insta::assert_snapshot!("get_missing", fixture.show(&["get", "team/clerks"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_who_lags() {
    let fixture = Fixture::configured().await;
    let current = member("router-1", 1).await;
    let old = member("router-2", 0).await;
    fixture.add_router("router-1", &current.address.to_string()).await;
    insta::assert_snapshot!("status", fixture.show(&["status", "--wait"]).await);
    fixture.add_router("router-2", &old.address.to_string()).await;
    fixture.add_router("router-3", "127.0.0.1:1").await;
    // Another member answers on the address of router-4's row.
    fixture.add_router("router-4", &current.address.to_string()).await;
    insta::assert_snapshot!("status_lagging", fixture.show(&["status", "--json"]).await);
    insta::assert_snapshot!("status_wait", fixture.show(&["status", "--wait"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_and_restore() {
    let fixture = Fixture::configured().await;
    insta::assert_snapshot!("drain", fixture.show(&["drain", "south"]).await);
    // A file that says nothing about it doesn't bring the zone back.
    insta::assert_snapshot!("drain_stays", fixture.show(&["apply", "register.toml"]).await);
    insta::assert_snapshot!("restore", fixture.show(&["restore", "south", "--wait"]).await);
    insta::assert_snapshot!("drain_missing", fixture.show(&["drain", "west"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_stays_revoked() {
    let fixture = Fixture::configured().await;
    insta::assert_snapshot!("revoke", fixture.show(&["revoke", "depots-1"]).await);
    insta::assert_snapshot!("revoke_stays", fixture.show(&["apply", "register.toml"]).await);
    insta::assert_snapshot!("revoke_missing", fixture.show(&["revoke", "depots-2"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_issued_key_works_and_its_secret_is_kept_nowhere() {
    let fixture = Fixture::configured().await;
    let output = fixture.run(&["issue-key", "depots", "--json"]).await;
    let issued: Value = serde_json::from_slice(&output.stdout).unwrap();
    let secret = issued["secret"].as_str().unwrap();
    let mut reader = ConfigReader::new();
    let register = reader.poll(&fixture.platform()).await.unwrap().unwrap();
    assert_eq!(register.authenticate(secret).unwrap().team, "depots");
    for table in ["config", "audit"] {
        let rows = fixture.platform().scan(table, "", "").await.unwrap();
        assert!(rows.iter().all(|row| !row.value.contains(secret)));
    }
    let named = ["issue-key", "depots", "--name", "depots-2"];
    insta::assert_snapshot!("issue_key", fixture.show(&named).await);
    insta::assert_snapshot!("issue_key_twice", fixture.show(&named).await);
    insta::assert_snapshot!("issue_key_missing", fixture.show(&["issue-key", "depot"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn audit() {
    let fixture = Fixture::configured().await;
    fixture.run(&["drain", "south", "--operator", "ayşe"]).await;
    fixture.run(&["revoke", "depots-1"]).await;
    let decision = json!({ "controller": "controller-1", "decision": "load summary" });
    fixture.put("decisions", "00000000000000000007", decision).await;
    let range = ["audit", "--from", "2", "--decisions"];
    insta::assert_snapshot!("audit", fixture.show(&range).await);
    let one = ["audit", "--from", "2", "--to", "2", "--json"];
    insta::assert_snapshot!("audit_json", fixture.show(&one).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn explain() {
    let fixture = Fixture::configured().await;
    let args = ["explain", "depots", "summary"];
    insta::assert_snapshot!("explain_nobody", fixture.show(&args).await);
    let router = member("router-2", 1).await;
    fixture.add_router("router-1", "127.0.0.1:1").await;
    fixture.add_router("router-2", &router.address.to_string()).await;
    insta::assert_snapshot!("explain", fixture.show(&args).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_each_wins_whole_or_is_told_who_did() {
    let fixture = Fixture::configured().await;
    let mut racers = Vec::new();
    for rate in 1..=6 {
        let name = format!("rate-{rate}.toml");
        fixture.write(&name, &REGISTER.replace("rate = 1000", &format!("rate = {rate}")));
        racers.push(name);
    }
    let runs = racers.iter().map(|name| {
        let fixture = &fixture;
        async move {
            let operator = format!("operator-of-{name}");
            fixture.run(&["apply", name, "--base", "1", "--operator", &operator]).await
        }
    });
    let outputs = futures::future::join_all(runs).await;
    let winners: Vec<usize> =
        (0..outputs.len()).filter(|&racer| outputs[racer].status.success()).collect();
    assert_eq!(winners.len(), 1);
    let winner = format!("operator-of-{}", racers[winners[0]]);
    for output in outputs.iter().filter(|output| !output.status.success()) {
        assert_eq!(output.status.code(), Some(4), "{}", show(output));
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains(&winner) && text.contains("team/depots"), "{text}");
    }
    let records = queries::audit(&fixture.platform(), Revision(1), None).await.unwrap();
    assert_eq!(records.len(), 2);
    assert_eq!(records[1].operator, winner);
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_on_different_entries_all_get_through() {
    let fixture = Fixture::configured().await;
    let outputs = futures::future::join_all([
        fixture.run(&["drain", "south"]),
        fixture.run(&["drain", "north"]),
        fixture.run(&["revoke", "depots-1"]),
        fixture.run(&["issue-key", "depots"]),
    ])
    .await;
    assert!(outputs.iter().all(|output| output.status.success()));
    let records = queries::audit(&fixture.platform(), Revision(1), None).await.unwrap();
    let revisions: Vec<u64> = records.iter().map(|record| record.revision.0).collect();
    assert_eq!(revisions, [1, 2, 3, 4, 5]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_looked_up() {
    let fixture = Fixture::configured().await;
    fixture.order(Fault::LostAnswers { count: Some(1) });
    let output = fixture.run(&["drain", "south"]).await;
    assert!(output.status.success(), "{}", show(&output));
    assert_eq!(queries::head(&fixture.platform()).await.unwrap(), Revision(2));
    fixture.order(Fault::LostAnswers { count: None });
    let output = fixture.run(&["restore", "south"]).await;
    assert!(output.status.success(), "{}", show(&output));
    assert_eq!(queries::head(&fixture.platform()).await.unwrap(), Revision(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_is_refused_and_one_into_a_frozen_store_unknown() {
    let fixture = Fixture::configured().await;
    fixture.order(Fault::Down);
    insta::assert_snapshot!("apply_down", fixture.show(&["drain", "south"]).await);
    fixture.clear();

    let base = queries::snapshot(&fixture.platform()).await.unwrap();
    assert_eq!(base.revision, Revision(1));
    let author = Author { operator: "tester".into(), action: "drain south".into() };
    let platform = FreezesAtWrite { inner: fixture.platform(), store: &fixture.server };
    let error = commands::drain(&platform, "south", &author).await.unwrap_err();
    assert_eq!(error.exit().code(), 6, "{error}");
    fixture.clear();
    // The sends that wait in the store take effect now, once at most.
    let mut reader = ConfigReader::new();
    while reader.revision() < Revision(2) {
        reader.poll(&fixture.platform()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let records = queries::audit(&fixture.platform(), Revision(2), None).await.unwrap();
    assert_eq!(records.len(), 1);
    assert!(error.to_string().contains(&records[0].apply), "{error}");
}

/// A platform whose store freezes as soon as a write is sent.
struct FreezesAtWrite<'a> {
    inner: MemoryPlatform,
    store: &'a Server,
}

#[async_trait::async_trait]
impl Platform for FreezesAtWrite<'_> {
    async fn get(&self, table: &str, key: &str) -> StoreResult<Option<Row>> {
        self.inner.get(table, key).await
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> StoreResult<Vec<Row>> {
        self.inner.scan(table, from, to).await
    }

    async fn transact(&self, transaction: &Transaction) -> StoreResult<Commit> {
        self.store.store.faults().order(Order { fault: Fault::Frozen, span_ms: None });
        let timeout = Duration::from_millis(TIMEOUT_MS);
        self.inner.clone().with_timeout(timeout).transact(transaction).await
    }

    async fn object(&self, name: &str) -> StoreResult<Option<Vec<u8>>> {
        self.inner.object(name).await
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> StoreResult<()> {
        self.inner.put_object(name, body).await
    }

    async fn instances(&self) -> StoreResult<Vec<Instance>> {
        self.inner.instances().await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_follows_each_revision_and_never_goes_back() {
    let fixture = Fixture::configured().await;
    let platform = fixture.platform();
    let mut reader = ConfigReader::new();
    let first = reader.poll(&platform).await.unwrap().unwrap();
    assert_eq!(first.revision, Revision(1));
    assert!(!first.is_drained("south"));
    let old = reader.snapshot();

    fixture.run(&["drain", "south"]).await;
    fixture.run(&["revoke", "depots-1"]).await;
    let second = reader.poll(&platform).await.unwrap().unwrap();
    assert_eq!(second.revision, Revision(3));
    assert!(second.is_drained("south"));
    assert_eq!(second.authenticate("open sesame"), None);
    assert_eq!(reader.poll(&platform).await.unwrap(), None);

    // What changes lead to is what a whole scan finds.
    let scanned = ConfigReader::new().poll(&platform).await.unwrap().unwrap();
    assert_eq!(second, scanned);

    // An older configuration isn't taken, whether from a peer or from a store that went back.
    assert_eq!(reader.adopt(old), None);
    fixture.put("config", "!head", json!({ "revision": 2 })).await;
    assert_eq!(reader.poll(&platform).await.unwrap(), None);
    assert_eq!(reader.revision(), Revision(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_starts_from_a_peer_while_the_store_is_down() {
    let fixture = Fixture::configured().await;
    let mut peer = ConfigReader::new();
    let held = peer.poll(&fixture.platform()).await.unwrap().unwrap();
    fixture.order(Fault::Down);
    let mut reader = ConfigReader::new();
    reader.poll(&fixture.platform()).await.unwrap_err();
    let sent = Snapshot::from_json(&peer.snapshot().to_json()).unwrap();
    assert_eq!(reader.adopt(sent).unwrap(), held);
    fixture.clear();
    fixture.run(&["drain", "south"]).await;
    let next = reader.poll(&fixture.platform()).await.unwrap().unwrap();
    assert_eq!(next.revision, Revision(2));
}
