//! Tests of responses without a length or chunks, which end with their connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::engine::Behavior;
use crate::fixture::Fixture;

/// How an unframed response ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The engine closes the connection after the body.
    Closed,
    /// The connection is reset after the body.
    Reset,
}

/// Starts an engine that sends `body` without framing to each request.
async fn start_engine(fixture: &Fixture, service: &str, body: &'static str, ending: Ending) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    write_entry(fixture, service, listener.local_addr().expect("the listener is bound"));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, body, ending));
        }
    });
}

fn write_entry(fixture: &Fixture, service: &str, address: SocketAddr) {
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 40, "born": 1,
        "models": [{"name": "m1", "version": 1, "adapters": []}],
    });
    fixture.store.put("servers", "i-0", entry.to_string().as_bytes());
}

async fn respond(stream: TcpStream, body: &str, ending: Ending) -> std::io::Result<()> {
    let mut request = Vec::new();
    // The requests of these tests have the body "a body".
    while !request.ends_with(b"\r\n\r\na body") && !request.starts_with(b"GET") {
        stream.readable().await?;
        let mut bytes = [0; 4_096];
        match stream.try_read(&mut bytes) {
            Ok(0) => return Ok(()),
            Ok(length) => request.extend_from_slice(&bytes[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    let text = String::from_utf8_lossy(&request).into_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("corianderyoke-attempt-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\ncorianderyoke-attempt-id: {}\r\ncorianderyoke-response-seal: seal\r\n\r\n",
        id.unwrap_or_default()
    );
    stream.writable().await?;
    // The response fits into the empty buffer of the socket.
    stream.try_write((head + body).as_bytes())?;
    if ending == Ending::Reset {
        // The body must arrive before the reset.
        sleep(Duration::from_millis(50)).await;
        stream.set_zero_linger()?;
    }
    Ok(())
}

/// Sends a request and returns its status and body, or `None` if the response broke off.
async fn send(fixture: &Fixture, path: &str) -> Option<(u16, String)> {
    let daemon = fixture.daemon("d1").await;
    let request = match path {
        "/again/" => fixture.request(&daemon, path, "1"),
        _ => fixture.generation_request(&daemon, path, "1", "m1"),
    };
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    Some((status, response.text().await.ok()?))
}

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

#[tokio::test]
async fn unframed_responses_that_end_with_their_connection_are_complete() {
    for (service, path, body) in [("orders", "/again/", "answer"), ("advice", "/stream/", EVENTS)] {
        let fixture = Fixture::start().await;
        start_engine(&fixture, service, body, Ending::Closed).await;
        assert_eq!(send(&fixture, path).await, Some((200, body.to_owned())), "{path}");
    }
}

/// Guards against an unframed response that was reset and passes for complete.
#[tokio::test]
async fn unframed_responses_that_are_reset_are_not_complete() {
    let fixture = Fixture::start().await;
    start_engine(&fixture, "advice", EVENTS, Ending::Reset).await;
    assert_eq!(send(&fixture, "/stream/").await, None, "the stream may not be resumed");
    let fixture = Fixture::start().await;
    start_engine(&fixture, "orders", "answ", Ending::Reset).await;
    let (status, _) = send(&fixture, "/again/").await.expect("the daemon's own response");
    assert!(matches!(status, 502 | 504), "status {status}");
}

/// Guards against a stream that ends within an event and passes for complete.
#[tokio::test]
async fn unframed_stream_that_ends_within_an_event_is_broken_off_or_resumed() {
    const PARTIAL: &str = "id: 1\ndata: piece 1\n\nid: 2\nda";
    let fixture = Fixture::start().await;
    start_engine(&fixture, "advice", PARTIAL, Ending::Closed).await;
    assert_eq!(send(&fixture, "/stream/").await, None, "the stream may not be resumed");
    let fixture = Fixture::start().await;
    start_engine(&fixture, "advice", PARTIAL, Ending::Closed).await;
    let other = fixture.model_engine("i-1", &["m1"]).await;
    other.queue_behaviors(&[Behavior::Stream(3, Duration::ZERO); 8]);
    let daemon = fixture.daemon("d1").await;
    // Prompts with different first parts prefer different engines.
    let mut resumed = 0;
    for number in 0..8 {
        let request = fixture.request(&daemon, "/resume/", &format!("{number:x}"));
        let request = request
            .header("corianderyoke-model", "m1")
            .header("corianderyoke-token-count", "6000,20")
            .header("corianderyoke-prompt-prefix", format!("{number:x}:5900,ff:100"));
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 200);
        let text = response.text().await.expect("a complete response");
        let ids: Vec<&str> = text.lines().filter(|line| line.starts_with("id: ")).collect();
        let is_resumed = ids == ["id: 1", "id: 2", "id: 3", "id: 4"];
        assert!(is_resumed || ids == ["id: 1", "id: 2", "id: 3"], "{ids:?}");
        resumed += usize::from(is_resumed);
        // The engine is avoided for some time after each failure.
        sleep(Duration::from_millis(1_000)).await;
    }
    assert!(resumed > 0, "the engine with the partial event received a request");
}
