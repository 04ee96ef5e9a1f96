//! The configuration in force: routers that start in an outage, and processes that were paused.

use std::time::Duration;

use corianderyoke::ops::bench::cell::Cell;
use corianderyoke::ops::bench::cell::Plan;
use corianderyoke::ops::router;
use corianderyoke::router::settings::Settings;
use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_support::Builder;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

/// Time between two looks, and how many there are at most.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const LOOKS: usize = 1_500;
/// Longer than a confirmation of the configuration counts, and than a term.
const PAUSE: Duration = Duration::from_secs(5);

const REGISTER: &str = "
[teams.depots]
rate = 1_000
burst = 8_000
[services.orders]
upstreams = [\"orders-1\"]
[grants.depots]
services = [\"orders\"]
";

async fn eventually(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..LOOKS {
        if holds() {
            return;
        }
        sleep(LOOK_EVERY).await;
    }
    panic!("{what} didn't come about");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_in_an_outage_serves_only_after_it() {
    let register = REGISTER.to_owned();
    let plan = Plan { routers: 2, controllers: 1, register, ..Plan::default() };
    let cell = Cell::start(plan).await.unwrap();
    let key = cell.issue_key("depots").await.unwrap();
    cell.platform.store.faults().order(Order { fault: Fault::Down, span_ms: None });
    let settings = Settings {
        name: "router-3".to_owned(),
        zone: "z3".to_owned(),
        platform: cell.platform.running.address,
        ..Settings::default()
    };
    let late = router::start(settings).await.unwrap();
    sleep(PAUSE).await;
    assert!(!late.router.ready());
    let url = format!("http://{}/v1/models", late.callers);
    let refused = reqwest::Client::new().get(&url).bearer_auth(&key).send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert!(refused.text().await.unwrap().contains("\"outcome\":\"not_run\""));
    for running in &cell.routers {
        assert!(running.router.ready(), "the others go on");
    }
    cell.platform.store.faults().clear();
    eventually("the late router's readiness", || late.router.ready()).await;
    let served = reqwest::Client::new().get(&url).bearer_auth(&key).send().await.unwrap();
    assert_eq!(served.status(), 200);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_wakes_after_a_pause_never_takes_a_key_revoked_meanwhile() {
    let builder = Builder {
        routers: 2,
        controllers: 1,
        engines: 1,
        ..Builder::beside(env!("CARGO_BIN_EXE_corianderyoke-router"))
    };
    let fleet = builder.start().await.expect("the fleet starts");
    let key = fleet.secret("t1").to_owned();
    let found = fleet.operate(&["--json", "get"]).unwrap();
    let found: Value = serde_json::from_slice(&found.stdout).unwrap();
    let entries = found["entries"].as_object().unwrap();
    let name =
        entries.iter().find(|(_, entry)| entry["team"] == "t1" && entry["digest"].is_string());
    let name = name.unwrap().0.strip_prefix("key/").unwrap().to_owned();
    fleet.pause("router-1").unwrap();
    fleet.operate(&["revoke", &name]).unwrap();
    sleep(PAUSE).await;
    // The requests lie in the paused router's sockets and are the first things that it finds. The
    // list of models needs nobody but this router.
    let models = fleet.client.get(fleet.url(1, "/v1/models").unwrap()).bearer_auth(&key);
    let url = fleet.url(1, "/v1/completions").unwrap();
    let body = json!({"model": "m1", "prompt": "p", "max_tokens": 4}).to_string();
    let chat = fleet.client.post(url).bearer_auth(&key).body(body);
    let asked = [models, chat].map(|request| tokio::spawn(request.send()));
    sleep(Duration::from_millis(200)).await;
    fleet.resume("router-1").unwrap();
    for asked in asked {
        let refused = asked.await.unwrap().unwrap();
        let status = refused.status().as_u16();
        let text = refused.text().await.unwrap();
        assert!(matches!(status, 401 | 503), "{status} {text}");
        assert!(text.contains("\"outcome\":\"not_run\""), "{text}");
    }
    let ledger = fleet.standin("engine-1", "/ledger").unwrap();
    let ledger: Value =
        serde_json::from_str(&fleet.client.get(ledger).send().await.unwrap().text().await.unwrap())
            .unwrap();
    assert_eq!(ledger["requests"], json!([]));
}
