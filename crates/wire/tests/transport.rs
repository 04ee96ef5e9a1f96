//! Calls between two transports on loopback.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use corianderyoke_wire::peer::request;
use corianderyoke_wire::peer::response;
use corianderyoke_wire::peer::PingRequest;
use corianderyoke_wire::peer::Refused;
use corianderyoke_wire::peer::Request;
use corianderyoke_wire::peer::Response;
use corianderyoke_wire::Error;
use corianderyoke_wire::Fingerprint;
use corianderyoke_wire::Handler;
use corianderyoke_wire::Identity;
use corianderyoke_wire::PeerAddr;
use corianderyoke_wire::Transport;
use corianderyoke_wire::Trust;

const LIMIT: Duration = Duration::from_secs(10);

/// Responds with the caller's name, or never if `silent`.
struct EchoHandler {
    silent: bool,
}

#[async_trait]
impl Handler for EchoHandler {
    async fn handle(&self, from: &str, _request: Request) -> Response {
        if self.silent {
            std::future::pending::<()>().await;
        }
        let refused = Refused { reason: from.to_owned() };
        Response { body: Some(response::Body::Refused(refused)) }
    }
}

fn node(trust: &Trust, silent: bool) -> Transport {
    let identity = Identity::generate().expect("an identity");
    let addr = "127.0.0.1:0".parse().expect("an address");
    Transport::bind(addr, identity, trust.clone(), Arc::new(EchoHandler { silent }))
        .expect("a transport")
}

fn peer(node: &Transport) -> PeerAddr {
    PeerAddr { addr: node.addr().expect("bound"), fingerprint: node.fingerprint() }
}

fn ping() -> Request {
    Request { body: Some(request::Body::Ping(PingRequest::default())) }
}

fn caller_name(response: Response) -> String {
    match response.body {
        Some(response::Body::Refused(refused)) => refused.reason,
        other => panic!("unexpected {other:?}"),
    }
}

#[tokio::test]
async fn a_call_carries_the_callers_name() {
    let trust = Trust::default();
    let (a, b) = (node(&trust, false), node(&trust, false));
    trust.insert(a.fingerprint(), "a");
    let response = a.call(&peer(&b), ping(), LIMIT).await.expect("a response");
    assert_eq!(caller_name(response), "a");
}

#[tokio::test]
async fn untrusted_callers_are_rejected() {
    let trust = Trust::default();
    let (a, b) = (node(&trust, false), node(&trust, false));
    a.call(&peer(&b), ping(), LIMIT).await.expect_err("a isn't trusted");
}

#[tokio::test]
async fn a_removed_member_is_rejected_at_its_next_call() {
    let trust = Trust::default();
    let (a, b) = (node(&trust, false), node(&trust, false));
    trust.insert(a.fingerprint(), "a");
    a.call(&peer(&b), ping(), LIMIT).await.expect("a response");
    trust.remove(&a.fingerprint());
    a.call(&peer(&b), ping(), LIMIT).await.expect_err("a was removed");
}

#[tokio::test]
async fn a_peer_with_an_unexpected_certificate_gets_no_request() {
    let trust = Trust::default();
    let (a, b) = (node(&trust, false), node(&trust, false));
    trust.insert(a.fingerprint(), "a");
    let unexpected = PeerAddr { fingerprint: Fingerprint([7; 32]), ..peer(&b) };
    let error = a.call(&unexpected, ping(), LIMIT).await.expect_err("another certificate");
    assert!(matches!(error, Error::NotSent(_)), "{error}");
}

#[tokio::test]
async fn a_call_without_response_has_an_unknown_outcome() {
    let trust = Trust::default();
    let (a, b) = (node(&trust, false), node(&trust, true));
    trust.insert(a.fingerprint(), "a");
    let short = Duration::from_millis(300);
    let error = a.call(&peer(&b), ping(), short).await.expect_err("no response");
    assert!(matches!(error, Error::Unknown(_)), "{error}");
}

#[tokio::test]
async fn a_call_reconnects_after_the_peer_restarts() {
    let trust = Trust::default();
    let a = node(&trust, false);
    trust.insert(a.fingerprint(), "a");
    let b = node(&trust, false);
    a.call(&peer(&b), ping(), LIMIT).await.expect("a response");
    let addr = b.addr().expect("bound");
    b.close();
    b.closed().await;
    drop(b);
    let identity = Identity::generate().expect("an identity");
    let echo = Arc::new(EchoHandler { silent: false });
    let mut restarted = Transport::bind(addr, identity, trust.clone(), echo.clone());
    while restarted.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let identity = Identity::generate().expect("an identity");
        restarted = Transport::bind(addr, identity, trust.clone(), echo.clone());
    }
    let restarted = restarted.expect("a transport");
    a.call(&peer(&restarted), ping(), LIMIT).await.expect("a response after the restart");
}
