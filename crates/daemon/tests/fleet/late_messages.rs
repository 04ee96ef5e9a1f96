//! Tests of messages between daemons that arrive late.

use std::time::Duration;

use corianderyoke_wire::word::datagram::Body;
use corianderyoke_wire::word::Changes;
use corianderyoke_wire::word::Datagram;
use corianderyoke_wire::word::Digest;
use corianderyoke_wire::word::Effect;
use corianderyoke_wire::word::Fitness;
use corianderyoke_wire::word::Member;
use prost::Message;
use ring::hmac;
use serde_json::json;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::engine::Behavior;
use crate::fixture::wait_until;
use crate::fixture::Fixture;

/// Returns the row of a daemon.
fn row(fixture: &Fixture, name: &str) -> Value {
    let row = fixture.store.value("daemons", name).expect("the daemon wrote its row");
    serde_json::from_slice(&row).expect("the row is JSON")
}

/// Sends a message of a daemon of the fleet to the daemon `name`.
async fn send(fixture: &Fixture, name: &str, body: Body) {
    let row = row(fixture, name);
    let address = row["peers"].as_str().expect("an address");
    let key = fixture.store.value("fleet", "peer-key").expect("the daemon wrote the key");
    let mut datagram = Datagram { body: Some(body) }.encode_to_vec();
    let tag = hmac::sign(&hmac::Key::new(hmac::HMAC_SHA256, &key), &datagram);
    datagram.extend_from_slice(tag.as_ref());
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    socket.send_to(&datagram, address).await.expect("the datagram is sent");
}

/// Guards against a change that an earlier lease holder announced and that arrives late.
#[tokio::test]
async fn change_announced_by_an_earlier_lease_holder_is_ignored() {
    let fixture = Fixture::start().await;
    let engine = fixture.model_engine("i-1", &["m1"]).await;
    engine.queue_behaviors(&[Behavior::Stream(3, Duration::ZERO)]);
    let daemon = fixture.daemon("d1").await;
    let lease = || fixture.store.value("leases", "orders");
    wait_until(|| async { lease().is_some() }).await;
    // The daemon knows that it holds the lease when it renews it.
    let claimed = lease();
    wait_until(|| async { lease() != claimed }).await;
    let effect = Effect {
        engine: "i-1".to_owned(),
        model: "m1".to_owned(),
        held: false,
        number: 1,
        ..Effect::default()
    };
    let changes = Changes { token: 0, effects: vec![effect], ..Changes::default() };
    send(&fixture, "d1", Body::Changes(changes)).await;
    // The daemon must have processed the message.
    sleep(Duration::from_millis(200)).await;
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status(), 200);
}

/// Guards against a digest that arrives once more and makes callers connect to a daemon that ended.
#[tokio::test]
async fn digest_that_arrives_again_is_ignored() {
    const ADDRESS: &str = "127.0.0.1:1";
    let fixture = Fixture::start().await;
    let daemon = fixture.daemon("d1").await;
    let mut relay = row(&fixture, "d1");
    (relay["name"], relay["callers"]) = (json!("d2"), json!(ADDRESS));
    fixture.store.put("daemons", "d2", relay.to_string().as_bytes());
    let member = Member {
        name: "d2".to_owned(),
        incarnation: relay["incarnation"].as_u64().expect("a number"),
        peers: "127.0.0.1:2".to_owned(),
        callers: ADDRESS.to_owned(),
        zone: "a".to_owned(),
        fitness: Fitness::Ready.into(),
        capacity: 1,
    };
    let digest = |number| {
        let member = member.clone();
        let (relay, incarnation) = (member.name.clone(), member.incarnation);
        let digest =
            Digest { relay, incarnation, number, members: vec![member], ..Digest::default() };
        Body::Digest(digest)
    };
    let is_listed = || async { fixture.addresses(&daemon).await.iter().any(|to| to == ADDRESS) };
    send(&fixture, "d1", digest(1)).await;
    wait_until(is_listed).await;
    // The first digest may have come before the daemon's row was read.
    send(&fixture, "d1", digest(2)).await;
    wait_until(|| async { !is_listed().await }).await;
    send(&fixture, "d1", digest(2)).await;
    // The daemon must have processed the message.
    sleep(Duration::from_millis(200)).await;
    assert!(!is_listed().await);
}
