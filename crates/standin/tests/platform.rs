//! Tests of the platform client against the stand-in, with and without faults.

use std::time::Duration;

use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_platform::http::HttpPlatform;
use corianderyoke_platform::http::Settings as ClientSettings;
use corianderyoke_platform::store::Settings as StoreSettings;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Instance;
use corianderyoke_platform::InstanceState;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use corianderyoke_standin::platform;
use corianderyoke_standin::platform::Server;
use corianderyoke_standin::relay::tcp;

async fn start_with_client(store: StoreSettings) -> (Server, HttpPlatform) {
    let settings = platform::Settings { store, ..platform::Settings::default() };
    let server = platform::serve(settings).await.unwrap();
    let client = ClientSettings {
        address: server.running.address.to_string(),
        timeout: Duration::from_millis(400),
        ..ClientSettings::default()
    };
    (server, HttpPlatform::new(client).unwrap())
}

fn put(key: &str, value: &str) -> Transaction {
    let write = Write::Put { table: "t".into(), key: key.into(), value: value.into() };
    Transaction { writes: vec![write], ..Transaction::default() }
}

fn permanent_fault(fault: Fault) -> Order {
    Order { fault, span_ms: None }
}

#[tokio::test]
async fn scans_return_ranges_and_conditions_check_versions() {
    let (_server, client) = start_with_client(StoreSettings::default()).await;
    let Commit::Done { version } = client.transact(&put("a/1", "one")).await.unwrap() else {
        panic!("a transaction without conditions was refused");
    };
    client.transact(&put("a/2 & ü?", "two")).await.unwrap();
    client.transact(&put("b", "three")).await.unwrap();
    let rows = client.scan("t", "a/", "b").await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2 & ü?"]);
    assert_eq!(client.scan("t", "b", "").await.unwrap().len(), 1);

    let mut update = put("a/1", "new");
    update.conditions = vec![Condition::Version { table: "t".into(), key: "a/1".into(), version }];
    assert!(matches!(client.transact(&update).await.unwrap(), Commit::Done { .. }));
    let Commit::Refused { condition: 0, found: Some(row) } =
        client.transact(&update).await.unwrap()
    else {
        panic!("a condition on an old version was accepted");
    };
    assert_eq!(row.value, "new");
    assert!(row.version > version);
}

#[tokio::test]
async fn refused_transaction_writes_nothing() {
    let (_server, client) = start_with_client(StoreSettings::default()).await;
    client.transact(&put("a", "one")).await.unwrap();
    let mut both = put("b", "two");
    both.conditions = vec![Condition::Absent { table: "t".into(), key: "a".into() }];
    assert!(matches!(client.transact(&both).await.unwrap(), Commit::Refused { .. }));
    assert_eq!(client.get("t", "b").await.unwrap(), None);
}

#[tokio::test]
async fn versions_are_not_reused_after_a_delete() {
    let (_server, client) = start_with_client(StoreSettings::default()).await;
    client.transact(&put("a", "one")).await.unwrap();
    let first = client.get("t", "a").await.unwrap().unwrap();
    let delete = Write::Delete { table: "t".into(), key: "a".into() };
    client.transact(&Transaction { writes: vec![delete], ..Default::default() }).await.unwrap();
    client.transact(&put("a", "one")).await.unwrap();
    assert!(client.get("t", "a").await.unwrap().unwrap().version > first.version);
}

#[tokio::test]
async fn objects_are_stored_and_the_instance_list_lags() {
    let store = StoreSettings { instance_lag_ms: 150, ..StoreSettings::default() };
    let (server, client) = start_with_client(store).await;
    assert_eq!(client.object("o").await.unwrap(), None);
    client.put_object("o", vec![0, 159, 255]).await.unwrap();
    assert_eq!(client.object("o").await.unwrap(), Some(vec![0, 159, 255]));

    let instance = Instance {
        name: "engine-1".into(),
        zone: "z1".into(),
        address: "127.0.0.1:1".into(),
        state: InstanceState::Live,
    };
    server.store.set_instances(vec![instance.clone()]);
    assert_eq!(client.instances().await.unwrap(), []);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(client.instances().await.unwrap(), [instance]);
}

#[tokio::test]
async fn unavailable_store_takes_no_effect() {
    let (server, client) = start_with_client(StoreSettings::default()).await;
    server.store.faults().order(permanent_fault(Fault::Down));
    let error = client.transact(&put("a", "one")).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable(_)), "{error}");
    server.store.faults().clear();
    assert_eq!(client.get("t", "a").await.unwrap(), None);
    assert_eq!(server.store.counters().refused, 1);
}

#[tokio::test]
async fn lost_response_is_unknown_but_takes_effect() {
    let (server, client) = start_with_client(StoreSettings::default()).await;
    server.store.faults().order(permanent_fault(Fault::LostAnswers { count: Some(1) }));
    let error = client.transact(&put("a", "one")).await.unwrap_err();
    assert!(matches!(error, Error::Unknown(_)), "{error}");
    assert_eq!(client.get("t", "a").await.unwrap().unwrap().value, "one");
    client.transact(&put("a", "two")).await.unwrap();
}

#[tokio::test]
async fn frozen_store_applies_the_write_after_the_caller_timed_out() {
    let (server, client) = start_with_client(StoreSettings::default()).await;
    server.store.faults().order(permanent_fault(Fault::Frozen));
    let error = client.transact(&put("a", "one")).await.unwrap_err();
    assert!(matches!(error, Error::Unknown(_)), "{error}");
    assert!(matches!(client.get("t", "a").await.unwrap_err(), Error::Unavailable(_)));
    server.store.faults().clear();
    while client.get("t", "a").await.unwrap().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn connection_that_went_silent_delays_no_later_request() {
    let (server, client) = start_with_client(StoreSettings::default()).await;
    client.get("t", "a").await.unwrap();
    server.store.faults().order(permanent_fault(Fault::Silent));
    assert!(matches!(client.transact(&put("a", "one")).await.unwrap(), Commit::Done { .. }));
    assert_eq!(client.get("t", "a").await.unwrap().unwrap().value, "one");
}

/// Starts a stand-in behind a relay, with a client that connects through the relay.
async fn start_with_relay() -> (Server, tcp::Relay, HttpPlatform) {
    let server = platform::serve(platform::Settings::default()).await.unwrap();
    let target = server.running.address;
    let relay = tcp::Relay::start(tcp::Settings { target, ..<_>::default() }).await.unwrap();
    let address = relay.address().to_string();
    let client = HttpPlatform::new(ClientSettings { address, ..<_>::default() }).unwrap();
    (server, relay, client)
}

/// Has the latest response on each connection written once more.
fn repeat_response(relay: &tcp::Relay, is_idle: bool) {
    match is_idle {
        true => relay.repeat_on_idle(None),
        false => relay.repeat_before_next(1),
    }
}

// Guards against taking the result of an earlier transaction for that of this one.
#[tokio::test]
async fn result_of_an_earlier_transaction_is_not_believed() {
    for is_idle in [false, true] {
        let (_server, relay, client) = start_with_relay().await;
        let mut insert = put("a", "one");
        insert.conditions = vec![Condition::Absent { table: "t".into(), key: "a".into() }];
        assert!(matches!(client.transact(&insert).await.unwrap(), Commit::Done { .. }));
        repeat_response(&relay, is_idle);
        let refused = client.transact(&insert).await.unwrap();
        assert!(matches!(refused, Commit::Refused { condition: 0, .. }), "{refused:?}");
    }
}

// Guards against taking an earlier read for the current contents, or another key's row for this one's.
#[tokio::test]
async fn earlier_read_is_not_believed() {
    for is_idle in [false, true] {
        let (server, relay, client) = start_with_relay().await;
        client.transact(&put("a", "one")).await.unwrap();
        client.get("t", "a").await.unwrap();
        // A write over another client leaves the earlier read the latest response.
        let address = server.running.address.to_string();
        let other = HttpPlatform::new(ClientSettings { address, ..<_>::default() }).unwrap();
        other.transact(&put("a", "two")).await.unwrap();
        repeat_response(&relay, is_idle);
        assert_eq!(client.get("t", "a").await.unwrap().unwrap().value, "two");
        repeat_response(&relay, is_idle);
        assert_eq!(client.get("t", "b").await.unwrap(), None);
    }
}

#[tokio::test]
async fn refused_connection_is_unavailable() {
    let settings = ClientSettings { address: "127.0.0.1:1".into(), ..ClientSettings::default() };
    let client = HttpPlatform::new(settings).unwrap();
    let error = client.transact(&put("a", "one")).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable(_)), "{error}");
}

#[tokio::test]
async fn writes_over_the_rate_limit_are_refused() {
    let store =
        StoreSettings { writes_per_second: 10.0, max_wait_ms: 100, ..StoreSettings::default() };
    let (server, client) = start_with_client(store).await;
    let mut refused = 0;
    for _ in 0..10 {
        let results = futures::future::join_all((0..4).map(|_| client.get("t", "a"))).await;
        assert!(results.iter().all(Result::is_ok));
    }
    for result in futures::future::join_all(
        [(); 8].map(|()| async { client.transact(&put("a", "one")).await }),
    )
    .await
    {
        match result {
            Ok(_) => {}
            Err(Error::Unavailable(text)) => {
                assert!(text.contains("rate"), "{text}");
                refused += 1;
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert!(refused > 0);
    assert_eq!(server.store.counters().refused, refused);
}
