//! Tests of the configuration in force on a router that starts during an outage of the store, and
//! on a process that was paused.

use std::time::Duration;

use corianderyoke::agent::config::Config;
use corianderyoke::ops::bench::cell::Cell;
use corianderyoke::ops::bench::cell::Plan;
use corianderyoke::ops::router;
use corianderyoke::router::settings::Settings;
use corianderyoke_coord::membership::MemberId;
use corianderyoke_coord::time::Tick;
use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_support::Builder;
use corianderyoke_wire::peer;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a wait fails.
const MAX_POLLS: usize = 1_500;
/// Longer than a lease duration, and than a confirmed configuration remains fresh.
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

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for {what}");
}

/// Guards against an old confirmation that counts as new because its age is out of range.
#[test]
fn age_out_of_range_is_no_recent_confirmation() {
    let now = Tick(60_000_000);
    let peer = MemberId { name: "router-2".to_owned(), incarnation: 1 };
    // The second is the first number of milliseconds whose microseconds need more than 64 bits.
    for age_ms in [60_000, 18_446_744_073_709_552, u64::MAX] {
        let config = Config::default();
        let report = peer::Config { confirmed: true, age_ms, ..peer::Config::default() };
        config.record_peer(&peer, now, &report);
        assert!(config.report(now).age_ms >= 60_000, "{age_ms} ms");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn router_started_during_an_outage_serves_only_after_it() {
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
        assert!(running.router.ready(), "the other routers stay ready");
    }
    cell.platform.store.faults().clear();
    wait_until("the late router's readiness", || late.router.ready()).await;
    let served = reqwest::Client::new().get(&url).bearer_auth(&key).send().await.unwrap();
    assert_eq!(served.status(), 200);
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_process_refuses_a_key_revoked_during_its_pause() {
    let builder = Builder {
        routers: 2,
        controllers: 1,
        engines: 1,
        ..Builder::beside(env!("CARGO_BIN_EXE_corianderyoke-router"))
    };
    let fleet = builder.start().await.expect("the fleet starts");
    let key = fleet.secret("t1").to_owned();
    let output = fleet.operate(&["--json", "get"]).unwrap();
    let config: Value = serde_json::from_slice(&output.stdout).unwrap();
    let entries = config["entries"].as_object().unwrap();
    let name =
        entries.iter().find(|(_, entry)| entry["team"] == "t1" && entry["digest"].is_string());
    let name = name.unwrap().0.strip_prefix("key/").unwrap().to_owned();
    fleet.pause("router-1").unwrap();
    fleet.operate(&["revoke", &name]).unwrap();
    sleep(PAUSE).await;
    // The paused router's sockets buffer the requests, so it reads them as soon as it resumes. It
    // needs no other process to list the models.
    let models = fleet.client.get(fleet.url(1, "/v1/models").unwrap()).bearer_auth(&key);
    let url = fleet.url(1, "/v1/completions").unwrap();
    let body = json!({"model": "m1", "prompt": "p", "max_tokens": 4}).to_string();
    let chat = fleet.client.post(url).bearer_auth(&key).body(body);
    let sent = [models, chat].map(|request| tokio::spawn(request.send()));
    sleep(Duration::from_millis(200)).await;
    fleet.resume("router-1").unwrap();
    for request in sent {
        let refused = request.await.unwrap().unwrap();
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
