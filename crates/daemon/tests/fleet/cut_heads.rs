//! Tests of engines that end within the head of a response.

use std::time::Duration;

use crate::fixture::Fixture;
use crate::raw_engine::answer;
use crate::raw_engine::RawEngine;
use crate::raw_engine::Step;
use crate::raw_engine::SEAL;

/// Distance of the places at which heads are cut off, in bytes.
const CUT_STEP: usize = 13;
/// Responses that come before the final one.
const INTERIM: [&str; 3] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n",
];
/// Header lines that frame the body; without any, it ends with its connection.
const FRAMINGS: [&str; 3] = ["content-length: 6\r\n", "transfer-encoding: chunked\r\n", ""];

/// Returns the bytes of interim and final heads, cut off at each place.
fn cut_heads(id: &str) -> Vec<Vec<u8>> {
    let mut cut = Vec::new();
    for interim in INTERIM {
        for framing in FRAMINGS {
            let head = format!(
                "{interim}HTTP/1.1 200 OK\r\ncorianderyoke-attempt-id: {id}\r\n{SEAL}\r\n\
                 content-type: text/event-stream\r\n{framing}\r\n"
            );
            let places = (interim.len() + 1..head.len()).step_by(CUT_STEP);
            cut.extend(places.map(|place| head.as_bytes()[..place].to_vec()));
        }
    }
    cut
}

/// Number of the cut that a request asks for, from its identifier.
fn cut_number(id: &str) -> usize {
    usize::from_str_radix(id, 16).expect("a number")
}

/// Guards against a response that breaks off within its head and passes for an empty or short one,
/// also after interim responses and on a kept connection.
#[tokio::test]
async fn response_that_breaks_off_within_its_head_is_no_success() {
    let mut checks = Vec::new();
    for (service, path) in [("orders", "/once/"), ("advice", "/stream/")] {
        for is_kept in [false, true] {
            for ending in [Step::Close, Step::Reset] {
                checks.push(check(service, path, is_kept, ending));
            }
        }
    }
    futures::future::join_all(checks).await;
}

async fn check(service: &str, path: &str, is_kept: bool, ending: Step) {
    let fixture = Fixture::start().await;
    let last_step = ending.clone();
    let engine = RawEngine::start(&fixture, "i-0", service, &["m1"], move |request| {
        if is_kept && request.nth == 0 {
            return vec![Step::Send(answer(&request.id, "id: 1\ndata: a\n\n"))];
        }
        let bytes = cut_heads(&request.id)[cut_number(&request.id)].clone();
        // The bytes must arrive before the end.
        vec![Step::Send(bytes), Step::Pause(Duration::from_millis(5)), last_step.clone()]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for number in 0..cut_heads("ffff").len() {
        let id = format!("{number:04x}");
        let before = engine.received().len();
        let mut was_sent = false;
        // An engine that fails again and again isn't used for some time.
        while !was_sent {
            let request = fixture.request_for(&daemon, path, &id).send().await;
            let response = request.expect("a response");
            let status = response.status().as_u16();
            let body = response.text().await;
            let received = engine.received();
            let cut = received[before..].iter().any(|request| !is_kept || request.nth > 0);
            was_sent = cut;
            if cut {
                let detail = format!("{path} cut {number}, kept {is_kept}, {ending:?}: {body:?}");
                assert!(matches!(status, 502 | 504), "{status} {detail}");
            }
        }
    }
}
