//! Calls to an engine that writes a response once more on a kept connection.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderyoke_standin::engine;
use corianderyoke_standin::engine::Fault;
use corianderyoke_standin::engine::Running;
use corianderyoke_upstream::control::Op;
use corianderyoke_upstream::control::Order;
use corianderyoke_upstream::control::Reply;
use corianderyoke_upstream::generate::Event;
use corianderyoke_upstream::generate::Prompt;
use corianderyoke_upstream::generate::Request;
use corianderyoke_upstream::Client;
use corianderyoke_upstream::Error;
use corianderyoke_upstream::Kind;
use corianderyoke_upstream::Outcome;
use corianderyoke_upstream::Settings;
use futures::StreamExt;

const MODEL: &str = "grit-3b";
/// The ways in which the engine writes a response once more.
const REPEATS: [Fault; 2] = [Fault::Repeat { requests: 1 }, Fault::RepeatIdle];

async fn engine() -> Running {
    let settings = engine::Settings {
        loaded: [(MODEL.to_owned(), 10)].into_iter().collect(),
        checkpoints: [("far".to_owned(), engine::settings::Tier::Memory)].into_iter().collect(),
        memory_bytes: 100,
        ..engine::Settings::default()
    };
    engine::serve(settings).await.expect("engine")
}

fn client() -> Arc<Client> {
    Arc::new(Client::new(Settings::default()).expect("client"))
}

fn request(id: &str, prompt: &str) -> Request {
    Request {
        id: id.to_owned(),
        model: MODEL.to_owned(),
        prompt: Prompt::Text(prompt.to_owned()),
        max_tokens: 4,
        ..Request::default()
    }
}

/// Returns the text of a whole completion.
async fn complete(
    client: &Arc<Client>,
    address: SocketAddr,
    request: Request,
) -> Result<String, Error> {
    let mut events = client.generate(address, request);
    let mut text = String::new();
    loop {
        match events.next().await.expect("the stream ended without its end event")? {
            Event::Token(token) => text.push_str(&token),
            Event::Done { .. } => return Ok(text),
        }
    }
}

/// Has the engine refuse a request with this id.
async fn refuse(engine: &Running, client: &Arc<Client>, id: &str) {
    engine.fault(&Fault::Refuse { ms: 100_000 });
    let refused = complete(client, engine.address(), request(id, "bins")).await;
    assert_eq!(refused.expect_err("refused").outcome, Outcome::NotRun);
    engine.fault(&Fault::Clear);
}

fn load_order(bytes: u64, fence: u64) -> Order {
    Order {
        order: format!("o{fence}"),
        op: Op::Load,
        model: "far".to_owned(),
        adapter: None,
        bytes,
        fence,
    }
}

// Guards against taking the refusal of a request's first sending for one of the second.
#[tokio::test]
async fn refusal_of_the_first_sending_is_not_believed_under_the_second() {
    for repeat in REPEATS {
        let (engine, client) = (engine().await, client());
        refuse(&engine, &client, "r1").await;
        engine.fault(&repeat);
        let text = complete(&client, engine.address(), request("r1", "bins")).await;
        assert_eq!(text, Ok(engine::answer(MODEL, None, "bins", 4)), "{repeat:?}");
        assert_eq!(engine.ledger().requests.len(), 1);
    }
}

// Guards against taking the tokens of a request's first sending for those of the second.
#[tokio::test]
async fn completion_of_the_first_sending_is_not_believed_under_the_second() {
    for repeat in REPEATS {
        let (engine, client) = (engine().await, client());
        complete(&client, engine.address(), request("r1", "bins")).await.expect("a completion");
        engine.fault(&repeat);
        let text = complete(&client, engine.address(), request("r1", "salt")).await;
        assert_eq!(text, Ok(engine::answer(MODEL, None, "salt", 4)), "{repeat:?}");
    }
}

// Guards against keeping connections whose ids the client has forgotten.
#[tokio::test]
async fn id_that_was_forgotten_is_sent_on_a_new_connection() {
    let engine = engine().await;
    let settings = Settings { pool_requests: 1, ..Settings::default() };
    let client = Arc::new(Client::new(settings).expect("client"));
    for id in ["r1", "r2"] {
        complete(&client, engine.address(), request(id, "bins")).await.expect("a completion");
    }
    engine.fault(&Fault::Repeat { requests: 1 });
    let text = complete(&client, engine.address(), request("r1", "salt")).await;
    assert_eq!(text, Ok(engine::answer(MODEL, None, "salt", 4)));
}

// Guards against taking the refusal of another request for one of this request.
#[tokio::test]
async fn refusal_of_another_request_leaves_the_outcome_unknown() {
    let (engine, client) = (engine().await, client());
    refuse(&engine, &client, "r1").await;
    engine.fault(&Fault::Repeat { requests: 1 });
    let error = complete(&client, engine.address(), request("r2", "bins")).await;
    let error = error.expect_err("the response is that of another request");
    assert_eq!(error.kind, Kind::Crossed { found: "r1".to_owned() });
    assert_eq!(error.outcome, Outcome::Unknown);
}

// Guards against taking the response to an earlier order for the response to this one.
#[tokio::test]
async fn response_to_an_earlier_order_is_not_believed() {
    for repeat in REPEATS {
        let (engine, client) = (engine().await, client());
        let accepted = client.order(engine.address(), &load_order(20, 5)).await;
        assert_eq!(accepted, Ok(Reply::Accepted));
        engine.fault(&repeat);
        let stale = client.order(engine.address(), &load_order(20, 4)).await;
        assert_eq!(stale, Ok(Reply::StaleFence), "{repeat:?}");
    }
}

// Guards against taking an earlier report of an engine's state for the current one.
#[tokio::test]
async fn earlier_report_is_not_believed() {
    for repeat in REPEATS {
        let (engine, client) = (engine().await, client());
        client.state(engine.address()).await.expect("state");
        // An order over another client leaves the earlier report the latest on its connection.
        let accepted = self::client().order(engine.address(), &load_order(20, 5)).await;
        assert_eq!(accepted, Ok(Reply::Accepted));
        engine.fault(&repeat);
        let state = client.state(engine.address()).await.expect("state");
        assert_eq!((state.fence, state.used_bytes), (5, 30), "{repeat:?}");
        engine.fault(&Fault::Repeat { requests: 1 });
        client.load(engine.address()).await.expect("a report of the load, not of the state");
    }
}
