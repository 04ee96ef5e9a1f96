//! Tests of responses without a length or chunks, which end with their connection.

use std::time::Duration;

use tokio::time::sleep;

use crate::engine::Behavior;
use crate::fixture::Fixture;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;
use crate::raw_engine::SEAL;

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
    RawEngine::start(fixture, "i-0", service, &["m1"], move |request| {
        let head = format!("HTTP/1.1 200 OK\r\ncorianderyoke-attempt-id: {}\r\n", request.id);
        let sent = Step::Send(format!("{head}{SEAL}\r\n\r\n{body}").into_bytes());
        match ending {
            Ending::Closed => vec![sent, Step::Close],
            // The body must arrive before the reset.
            Ending::Reset => vec![sent, Step::Pause(Duration::from_millis(50)), Step::Reset],
        }
    })
    .await;
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
