//! Tests of concurrent operators, lost responses and outages, and of the reader with which daemons
//! follow the configuration.

use std::time::Duration;

use corianderyoke::ops::config::commands;
use corianderyoke::ops::config::queries;
use corianderyoke::ops::config::Author;
use corianderyoke::ops::config::ConfigReader;
use corianderyoke::ops::config::Snapshot;
use corianderyoke_coord::register::Resource;
use corianderyoke_coord::register::Revision;
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
use corianderyoke_standin::platform::Server;
use serde_json::json;

use super::show;
use super::Fixture;
use super::REGISTER;
use super::TIMEOUT_MS;

#[tokio::test(flavor = "multi_thread")]
async fn one_concurrent_apply_succeeds_and_the_others_report_the_winner() {
    let fixture = Fixture::configured().await;
    let mut files = Vec::new();
    for rate in 1..=6 {
        let name = format!("rate-{rate}.toml");
        fixture.write(&name, &REGISTER.replace("rate = 1000", &format!("rate = {rate}")));
        files.push(name);
    }
    let runs = files.iter().map(|name| {
        let fixture = &fixture;
        async move {
            let operator = format!("operator-of-{name}");
            fixture.run(&["apply", name, "--base", "1", "--operator", &operator]).await
        }
    });
    let outputs = futures::future::join_all(runs).await;
    let winners: Vec<usize> =
        (0..outputs.len()).filter(|&index| outputs[index].status.success()).collect();
    assert_eq!(winners.len(), 1);
    let winner = format!("operator-of-{}", files[winners[0]]);
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
async fn concurrent_commands_on_different_entries_all_succeed() {
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
async fn outcome_is_looked_up_after_a_lost_response() {
    let fixture = Fixture::configured().await;
    fixture.inject_fault(Fault::LostAnswers { count: Some(1) });
    let output = fixture.run(&["drain", "south"]).await;
    assert!(output.status.success(), "{}", show(&output));
    assert_eq!(queries::head(&fixture.platform()).await.unwrap(), Revision(2));
    fixture.inject_fault(Fault::LostAnswers { count: None });
    let output = fixture.run(&["restore", "south"]).await;
    assert!(output.status.success(), "{}", show(&output));
    assert_eq!(queries::head(&fixture.platform()).await.unwrap(), Revision(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_refused_during_an_outage_and_unknown_on_a_frozen_store() {
    let fixture = Fixture::configured().await;
    fixture.inject_fault(Fault::Down);
    insta::assert_snapshot!("apply_down", fixture.show(&["drain", "south"]).await);
    fixture.clear_faults();

    let base = queries::snapshot(&fixture.platform()).await.unwrap();
    assert_eq!(base.revision, Revision(1));
    let author = Author { operator: "tester".into(), action: "drain south".into() };
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let platform = FreezingPlatform {
        inner: fixture.platform().with_timeout(timeout),
        store: &fixture.server,
    };
    let error = commands::drain(&platform, "south", &author).await.unwrap_err();
    assert_eq!(error.exit().code(), 6, "{error}");
    fixture.clear_faults();
    // The writes that are pending in the store take effect now, at most once.
    let mut reader = ConfigReader::new();
    while reader.revision() < Revision(2) {
        reader.poll(&fixture.platform()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let records = queries::audit(&fixture.platform(), Revision(2), None).await.unwrap();
    assert_eq!(records.len(), 1);
    assert!(error.to_string().contains(&records[0].apply), "{error}");
}

/// Platform whose store freezes as soon as a write is sent.
struct FreezingPlatform<'a> {
    inner: MemoryPlatform,
    store: &'a Server,
}

#[async_trait::async_trait]
impl Platform for FreezingPlatform<'_> {
    async fn get(&self, table: &str, key: &str) -> StoreResult<Option<Row>> {
        self.inner.get(table, key).await
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> StoreResult<Vec<Row>> {
        self.inner.scan(table, from, to).await
    }

    async fn transact(&self, transaction: &Transaction) -> StoreResult<Commit> {
        self.store.store.faults().order(Order { fault: Fault::Frozen, span_ms: None });
        self.inner.transact(transaction).await
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
async fn reader_follows_each_revision_and_never_reverts() {
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

    // Following the changes gives the same configuration as a full scan.
    let scanned = ConfigReader::new().poll(&platform).await.unwrap().unwrap();
    assert_eq!(second, scanned);

    // An older configuration is ignored, whether from a peer or from a store that reverted.
    assert_eq!(reader.adopt(old), None);
    fixture.put("config", "!head", json!({ "revision": 2 })).await;
    assert_eq!(reader.poll(&platform).await.unwrap(), None);
    assert_eq!(reader.revision(), Revision(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_starts_from_the_snapshot_of_a_peer_during_an_outage() {
    let fixture = Fixture::configured().await;
    let mut peer = ConfigReader::new();
    let peer_register = peer.poll(&fixture.platform()).await.unwrap().unwrap();
    fixture.inject_fault(Fault::Down);
    let mut reader = ConfigReader::new();
    reader.poll(&fixture.platform()).await.unwrap_err();
    let snapshot = Snapshot::from_json(&peer.snapshot().to_json()).unwrap();
    assert_eq!(reader.adopt(snapshot).unwrap(), peer_register);
    fixture.clear_faults();
    fixture.run(&["drain", "south"]).await;
    let next = reader.poll(&fixture.platform()).await.unwrap().unwrap();
    assert_eq!(next.revision, Revision(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entry_grants_nothing() {
    let fixture = Fixture::configured().await;
    let platform = fixture.platform();
    let mut reader = ConfigReader::new();
    reader.poll(&platform).await.unwrap();

    // A newer version writes a key in a format that this one can't read, and an entry of an unknown
    // kind.
    let unreadable = json!({ "team": "depots", "digest": ["sha512", "00"], "revoked": true });
    let change = json!({ "address": "key/depots-1", "before": null, "after": unreadable });
    let other = json!({ "address": "quota/depots", "before": null, "after": {} });
    let record = json!({
        "revision": 2, "apply": "a", "operator": "tester", "time": 0, "action": "apply",
        "changes": [change, other],
    });
    fixture.put("config", "key/depots-1", json!({ "revision": 2, "entry": unreadable })).await;
    fixture.put("config", "quota/depots", json!({ "revision": 2, "entry": {} })).await;
    fixture.put("audit", "00000000000000000002", record).await;
    fixture.put("config", "!head", json!({ "revision": 2 })).await;

    let followed = reader.poll(&platform).await.unwrap().unwrap();
    assert_eq!(followed.authenticate("open sesame"), None);
    assert!(followed.may_use("depots", Resource::Model("summary")));
    let scanned = ConfigReader::new().poll(&platform).await.unwrap().unwrap();
    assert_eq!(scanned, followed);

    // An operator's change reports the unreadable entry and doesn't modify it.
    insta::assert_snapshot!("unreadable", fixture.show(&["drain", "south"]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn audit_trail_is_followed_through_an_outage() {
    let fixture = Fixture::configured().await;
    let changes = async {
        fixture.run(&["drain", "south"]).await;
        fixture.inject_fault(Fault::Down);
        tokio::time::sleep(Duration::from_millis(600)).await;
        fixture.clear_faults();
        fixture.run(&["revoke", "depots-1"]).await;
    };
    let args = ["audit", "--follow", "--from", "1", "--to", "3"];
    let (output, ()) = futures::future::join(fixture.run(&args), changes).await;
    let text = String::from_utf8_lossy(&output.stdout);
    let heads: Vec<&str> = text.lines().filter(|line| line.starts_with("revision")).collect();
    assert_eq!(heads.len(), 3, "{}", show(&output));
    for (head, action) in heads.iter().zip(["(apply)", "(drain south)", "(revoke depots-1)"]) {
        assert!(head.contains(action), "{head}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gap_in_the_audit_trail_is_skipped_by_a_full_scan() {
    let fixture = Fixture::configured().await;
    let platform = fixture.platform();
    let mut reader = ConfigReader::new();
    reader.poll(&platform).await.unwrap();
    fixture.run(&["drain", "south"]).await;
    fixture.run(&["revoke", "depots-1"]).await;
    let delete = Write::Delete { table: "audit".into(), key: "00000000000000000002".into() };
    let pruned = Transaction { writes: vec![delete], ..Transaction::default() };
    platform.transact(&pruned).await.unwrap();
    let register = reader.poll(&platform).await.unwrap().unwrap();
    assert_eq!(register.revision, Revision(3));
    assert!(register.is_drained("south"));
}
