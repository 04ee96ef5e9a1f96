//! Tests of requests whose upstreams write a response once more on a kept connection.

use std::time::Duration;

use corianderyoke::ops::bench::cell::Cell;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::Fault;
use corianderyoke_standin::engine::Reply;
use corianderyoke_standin::service;
use futures::future::join_all;
use serde_json::json;
use serde_json::Value;

use crate::callers::cell;
use crate::callers::send_completion;

/// Number of times that the upstreams get their faults.
const ROUNDS: usize = 30;
/// Number of concurrent requests in a round.
const REQUESTS: usize = 6;
/// Time that an engine takes for a token.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// Number of tokens of an answer.
const TOKENS: u32 = 5;

/// Has each engine refuse some requests, and write responses once more.
fn inject_repeats(cell: &Cell, round: usize) {
    let refusal = Reply {
        status: if round.is_multiple_of(2) { 503 } else { 429 },
        media: "application/json".to_owned(),
        body: "{\"error\":{\"code\":\"busy\"}}".to_owned(),
    };
    for engine in &cell.engines {
        engine.fault(&Fault::Reply { reply: refusal.clone(), requests: 2 });
        engine.fault(&Fault::Repeat { requests: 3 });
        if round.is_multiple_of(3) {
            engine.fault(&Fault::RepeatIdle);
        }
    }
}

/// Whether any engine has run an attempt of a request.
fn has_run(cell: &Cell, id: &str) -> bool {
    let is_attempt = |attempt: &str| attempt.split('.').next() == Some(id);
    cell.engines.iter().any(|engine| {
        engine.ledger().requests.iter().any(|request| is_attempt(&request.request_id))
    })
}

// Guards against "not run" for a request that ran, and against the answer to another request.
#[tokio::test(flavor = "multi_thread")]
async fn answers_and_refusals_are_true_while_engines_repeat_responses() {
    let (cell, key) = cell(2, TOKEN_TIME).await;
    let mut answers = 0;
    for round in 0..ROUNDS {
        inject_repeats(&cell, round);
        let prompts = (0..REQUESTS).map(|number| format!("p-{round}-{number}"));
        let exchanges = prompts.map(|prompt| async {
            let body = json!({"model": "summary", "prompt": prompt, "max_tokens": TOKENS});
            let response = send_completion(&cell, 0, &key, body.to_string()).await;
            let answer = response.json::<Value>().await.expect("a whole response");
            (prompt, answer)
        });
        for (prompt, answer) in join_all(exchanges).await {
            let Some(text) = answer["choices"][0]["text"].as_str() else {
                let id = answer["error"]["request_id"].as_str().expect("an id");
                let is_not_run = answer["error"]["outcome"] == "not_run";
                assert!(!is_not_run || !has_run(&cell, id), "{answer}");
                continue;
            };
            assert_eq!(text, engine::answer("summary", None, &prompt, TOKENS));
            answers += 1;
        }
    }
    assert!(answers > 0, "no request was answered");
    cell.stop().await;
}

// Guards against an order that is confirmed by the response to another one, or runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn orders_get_their_own_responses_while_the_service_repeats_responses() {
    let (cell, key) = cell(2, TOKEN_TIME).await;
    let url = format!("http://{}/services/orders/new", cell.callers(0));
    let client = reqwest::Client::new();
    for number in 1..=ROUNDS as u64 {
        cell.services[0].fault(service::Fault::Repeat { calls: 1 });
        let order = client.post(&url).bearer_auth(&key).body(format!("{{\"bin\":{number}}}"));
        let response = order.header("idempotency-key", format!("k{number}")).send().await.unwrap();
        let answer = response.json::<Value>().await.expect("a whole response");
        assert_eq!(answer, json!({"effect": number}));
    }
    let ledger = cell.services[0].ledger();
    assert_eq!((ledger.effects, ledger.repeated_keys().len()), (ROUNDS as u64, 0));
    cell.stop().await;
}
