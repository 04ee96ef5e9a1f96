//! Cold starts while controllers leave and engines die.

use std::time::Duration;

use corianderyoke::ops::bench::cell::Cell;
use corianderyoke::ops::bench::cell::Plan;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::LoadTimes;
use corianderyoke_standin::engine::settings::Tier;
use corianderyoke_standin::engine::Fault;
use reqwest::StatusCode;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const REGISTER: &str = r#"
[models.summary]
bytes = 16_000_000_000
bytes_per_token = 2.0
context_tokens = 4096
[models.summary.start_ms]
memory = 100
disk = 1_500
remote = 4_000
[teams.depots]
rate = 1_000
burst = 8_000
[grants.depots]
models = ["summary"]
[rules]
deadline_ms = 30_000
"#;

/// Time between two looks, and how many there are at most.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const LOOKS: usize = 1_500;

async fn cell(engines: usize, controllers: usize) -> (Cell, String) {
    let times = LoadTimes { disk: Duration::from_millis(1_500), ..LoadTimes::default() };
    let mut engine = engine::Settings { times, fencing: false, ..engine::Settings::default() };
    engine.checkpoints.insert("summary".to_owned(), Tier::Disk);
    let plan = Plan {
        routers: 1,
        controllers,
        engines: vec![engine; engines],
        services: 0,
        register: REGISTER.to_owned(),
        ..Plan::default()
    };
    let cell = Cell::start(plan).await.expect("the cell starts");
    let key = cell.issue_key("depots").await.expect("a key is issued");
    (cell, key)
}

/// Asks for a completion in the background; resolves to the answer's status.
fn ask(cell: &Cell, key: &str) -> JoinHandle<StatusCode> {
    let url = format!("http://{}/v1/completions", cell.callers(0));
    let body = json!({"model": "summary", "prompt": "p", "max_tokens": 4}).to_string();
    let request = reqwest::Client::new().post(url).bearer_auth(key).body(body);
    tokio::spawn(async move { request.send().await.expect("an answer").status() })
}

/// Loads of the model that an engine accepted.
fn loads(engine: &engine::Running) -> usize {
    engine.ledger().changes.iter().filter(|change| change.op == "load").count()
}

async fn first_load(cell: &Cell) -> usize {
    for _ in 0..LOOKS {
        if let Some(at) = cell.engines.iter().position(|engine| loads(engine) > 0) {
            return at;
        }
        sleep(LOOK_EVERY).await;
    }
    panic!("no engine got a load order");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_controller_that_leaves_during_a_load_is_followed_without_a_second_one() {
    let (mut cell, key) = cell(1, 2).await;
    let answer = ask(&cell, &key);
    first_load(&cell).await;
    let active = cell.controllers.iter().position(|running| running.controller.is_active());
    let old = cell.controllers.remove(active.expect("one has ordered"));
    old.leave().await;
    assert_eq!(answer.await.expect("asked"), StatusCode::OK);
    for _ in 0..LOOKS {
        if cell.controllers[0].controller.is_active() {
            break;
        }
        sleep(LOOK_EVERY).await;
    }
    assert!(cell.controllers[0].controller.is_active(), "nobody followed");
    let ledger = cell.engines[0].ledger();
    assert_eq!((loads(&cell.engines[0]), ledger.overcommits), (1, 0));
    assert_eq!(ask(&cell, &key).await.expect("asked"), StatusCode::OK);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_is_loaded_elsewhere_when_its_engine_dies_during_the_load() {
    let (cell, key) = cell(2, 1).await;
    let answer = ask(&cell, &key);
    let dead = first_load(&cell).await;
    cell.engines[dead].fault(&Fault::Die);
    assert_eq!(answer.await.expect("asked"), StatusCode::OK);
    assert_eq!(loads(&cell.engines[1 - dead]), 1);
    cell.stop().await;
}
