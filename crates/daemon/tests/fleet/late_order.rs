//! Tests of orders and requests that get no answer, with an engine that shows how their connections
//! end.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::fixture::Fixture;

/// Time limit for the order and the end of its connection.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How a connection ends: the kind of error, or `None` if it is closed.
type End = Option<ErrorKind>;

/// Starts an engine that reports that it holds no model, and answers nothing else. The receiver yields
/// how the connection of each request ends that begins with `awaited`.
fn start_engine(awaited: &'static str) -> (SocketAddr, mpsc::UnboundedReceiver<End>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let (sender, ends) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, sender) = (stream.expect("a connection"), sender.clone());
            thread::spawn(move || {
                if let Some(end) = serve(stream, awaited) {
                    // The test may have ended.
                    let _ = sender.send(end);
                }
            });
        }
    });
    (address, ends)
}

/// Answers reports until the connection ends. Returns how it ended if what is awaited arrived.
fn serve(mut stream: TcpStream, awaited: &str) -> Option<End> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4_096]);
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) => break Some(error.kind()),
        }
        if received.starts_with(b"GET /report") && received.ends_with(b"\r\n\r\n") {
            received.clear();
            let report = json!({"busy": false, "seq": 0, "models": []}).to_string();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", report.len());
            stream.write_all(format!("{head}{report}").as_bytes()).ok()?;
        }
    };
    received.starts_with(awaited.as_bytes()).then_some(end)
}

/// Guards against an order that its sender has given up and that arrives when a cut link heals: a
/// connection that is closed, and not reset, still delivers it, after orders of the next holder.
#[tokio::test]
async fn connection_of_an_abandoned_order_is_reset() {
    let fixture = Fixture::start().await;
    let (address, mut ends) = start_engine("POST /order");
    let entry = json!({
        "service": "advice", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1, "models": [],
        "at_hand": {"in_memory": [], "on_disk": ["m1"]},
    });
    fixture.store.put("servers", "i-1", entry.to_string().as_bytes());
    let daemon = fixture.daemon("d1").await;
    let request = fixture.generation_request(&daemon, "/resume/", "1", "m1");
    let request = tokio::spawn(request.send());
    let end = timeout(WAIT_TIMEOUT, ends.recv()).await.expect("an order is given up");
    assert_eq!(end, Some(Some(ErrorKind::ConnectionReset)));
    request.abort();
}

/// Guards against a request that was given up and reaches an engine in an evacuated zone, or after its
/// successor ran elsewhere, when a cut link heals.
#[tokio::test]
async fn connection_of_an_abandoned_request_is_reset() {
    let fixture = Fixture::start().await;
    let (address, mut ends) = start_engine("POST /");
    for (id, service) in [("i-1", "orders"), ("i-2", "advice")] {
        let models = json!([{"name": "m1", "version": 1, "adapters": []}]);
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1, "models": models,
            "at_hand": {"in_memory": [], "on_disk": ["m1"]},
        });
        fixture.store.put("servers", id, entry.to_string().as_bytes());
    }
    let daemon = fixture.daemon("d1").await;
    for path in ["/once/", "/again/", "/stream/", "/resume/"] {
        // The caller leaves, or its time limit passes first.
        for patience in [Duration::from_millis(300), WAIT_TIMEOUT] {
            let request = fixture.request_for(&daemon, path, "1").send();
            let _ = timeout(patience, request).await;
            let end = timeout(WAIT_TIMEOUT, ends.recv()).await.expect("the request is given up");
            assert_eq!(end, Some(Some(ErrorKind::ConnectionReset)), "{path} after {patience:?}");
            while ends.try_recv().is_ok() {}
        }
    }
}
