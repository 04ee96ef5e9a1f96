//! Tests of cold starts while controllers leave and engines crash.

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

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a wait fails.
const MAX_POLLS: usize = 1_500;

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

/// Sends a completion request in the background. The task returns the status of the response.
fn send_completion(cell: &Cell, key: &str) -> JoinHandle<StatusCode> {
    let url = format!("http://{}/v1/completions", cell.callers(0));
    let body = json!({"model": "summary", "prompt": "p", "max_tokens": 4}).to_string();
    let request = reqwest::Client::new().post(url).bearer_auth(key).body(body);
    tokio::spawn(async move { request.send().await.expect("a response").status() })
}

/// Returns the number of loads that an engine accepted.
fn load_count(engine: &engine::Running) -> usize {
    engine.ledger().changes.iter().filter(|change| change.op == "load").count()
}

async fn wait_for_load(cell: &Cell) -> usize {
    for _ in 0..MAX_POLLS {
        if let Some(index) = cell.engines.iter().position(|engine| load_count(engine) > 0) {
            return index;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("no engine got a load order");
}

#[tokio::test(flavor = "multi_thread")]
async fn controller_leaving_during_a_load_is_replaced_without_a_second_load() {
    let (mut cell, key) = cell(1, 2).await;
    let status = send_completion(&cell, &key);
    wait_for_load(&cell).await;
    let active = cell.controllers.iter().position(|running| running.controller.is_active());
    let leaving = cell.controllers.remove(active.expect("one controller is active"));
    leaving.leave().await;
    assert_eq!(status.await.expect("the task ends"), StatusCode::OK);
    for _ in 0..MAX_POLLS {
        if cell.controllers[0].controller.is_active() {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    assert!(cell.controllers[0].controller.is_active(), "no controller took over");
    let ledger = cell.engines[0].ledger();
    assert_eq!((load_count(&cell.engines[0]), ledger.overcommits), (1, 0));
    assert_eq!(send_completion(&cell, &key).await.expect("the task ends"), StatusCode::OK);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn model_is_loaded_on_another_engine_if_its_engine_crashes_during_the_load() {
    let (cell, key) = cell(2, 1).await;
    let status = send_completion(&cell, &key);
    let crashed = wait_for_load(&cell).await;
    cell.engines[crashed].fault(&Fault::Die);
    assert_eq!(status.await.expect("the task ends"), StatusCode::OK);
    assert_eq!(load_count(&cell.engines[1 - crashed]), 1);
    cell.stop().await;
}
