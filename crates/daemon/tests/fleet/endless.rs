//! Tests of peers that send bytes without end which never amount to a message.

use std::future::Future;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::raw_engine::write_all;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;
use crate::raw_engine::SEAL;

/// Number of callers whose requests reach the engine without end at the same time.
const FLOODED_CALLERS: usize = 6;
/// Time for which the requests of another caller are observed.
const OBSERVATION: Duration = Duration::from_secs(3);
/// Time after which callers give up a daemon that hasn't read their request.
const PATIENCE: Duration = Duration::from_secs(1);
/// Bytes that are written at once.
const PIECE_BYTES: usize = 65_536;

/// Bytes that an engine sends without end, and those before them.
fn floods() -> Vec<(&'static str, String, &'static str)> {
    let head = |framing: &str| {
        format!("HTTP/1.1 200 OK\r\ncorianderyoke-attempt-id: ID\r\n{SEAL}\r\n{framing}\r\n\r\n")
    };
    let chunked = || head("transfer-encoding: chunked");
    vec![
        ("interim heads", String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        ("early hints", String::new(), "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n"),
        ("chunk size of zeros", chunked(), "0"),
        ("chunk extension", chunked() + "5;", "x"),
        ("trailers", chunked() + "0\r\n", "x: y\r\n"),
        ("empty lines", String::new(), "\r\n"),
    ]
}

/// Sends requests one after the other while `flood` goes on, and checks that each is served in time.
async fn check_others(fixture: &Fixture, daemon: &Daemon, name: &str, flood: impl Future) {
    let observed = async {
        let end = Instant::now() + OBSERVATION;
        let mut count = 0;
        while Instant::now() < end {
            count += 1;
            let request = fixture.request(daemon, "/again/", &format!("a{count:x}")).send();
            let response = timeout(PATIENCE, request).await;
            let response = response.unwrap_or_else(|_| panic!("{name}: request {count} waits"));
            assert_eq!(response.expect("a response").status(), 200, "{name}: request {count}");
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::join!(observed, flood);
}

/// Guards against an engine whose endless bytes kept the daemon from serving anybody else.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn endless_bytes_of_an_engine_do_not_hold_up_other_callers() {
    for (name, begin, piece) in floods() {
        let fixture = Fixture::start().await;
        let _other = fixture.plain_engine("i-1").await;
        RawEngine::start(&fixture, "i-2", "advice", &["m1"], move |request| {
            let begin = begin.replace("ID", &request.id);
            vec![Step::Send(begin.into_bytes()), Step::Flood(piece.as_bytes())]
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        let flood = futures::future::join_all((0..FLOODED_CALLERS).map(|index| {
            let request =
                fixture.generation_request(&daemon, "/stream/", &format!("{index}"), "m1");
            async {
                let response = request.send().await;
                assert!(response.is_ok_and(|response| response.status() == 502), "{name}");
            }
        }));
        check_others(&fixture, &daemon, name, flood).await;
    }
}

/// Guards against the same with a caller as the source.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn endless_bytes_of_a_caller_do_not_hold_up_others() {
    const HEAD: &str =
        "POST /again/ HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer secret\r\n\
                        corianderyoke-attempt-id: b\r\ntransfer-encoding: chunked\r\n\r\n";
    for (name, begin, piece) in [
        ("chunk size of zeros", HEAD.to_owned(), "0"),
        ("trailers", format!("{HEAD}0\r\n"), "x: y\r\n"),
        ("empty lines", String::new(), "\r\n"),
    ] {
        let fixture = Fixture::start().await;
        let _engine = fixture.plain_engine("i-1").await;
        let daemon = fixture.daemon("d1").await;
        let flood = futures::future::join_all((0..FLOODED_CALLERS).map(|_| async {
            let stream = TcpStream::connect(daemon.callers).await.expect("a connection");
            let piece = piece.repeat(PIECE_BYTES / piece.len());
            let sending = async {
                let mut sent = write_all(&stream, begin.as_bytes()).await;
                while sent.is_ok() {
                    sent = write_all(&stream, piece.as_bytes()).await;
                }
            };
            // The daemon closes the connection, or it goes on until the end of the observation.
            let _ = timeout(OBSERVATION, sending).await;
        }));
        check_others(&fixture, &daemon, name, flood).await;
    }
}
