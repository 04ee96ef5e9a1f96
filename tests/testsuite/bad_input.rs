//! Tests that each kind of invalid request gets a specific refusal, is counted and reaches no
//! upstream.

use std::fmt::Write;
use std::io::Read;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use corianderyoke::ops::bench::cell::Cell;
use corianderyoke::ops::bench::cell::Plan;
use corianderyoke::router::http::unhandled_refusal;
use corianderyoke::router::refusal::Code;
use corianderyoke::router::refusal::Outcome;
use corianderyoke_standin::engine;
use corianderyoke_standin::engine::settings::Tier;

/// Time without data after which a connection has sent its complete response.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Time in which a forwarded request would reach a service.
const FORWARD_TIME: Duration = Duration::from_millis(500);

const REGISTER: &str = r#"
[models.summary]
bytes = 16_000_000_000
bytes_per_token = 2.0
context_tokens = 2000
[adapters.winter]
model = "summary"
bytes = 1_000
[teams.depots]
rate = 50_000
burst = 100_000
[grants.depots]
models = ["summary"]
services = ["orders"]
[services.orders]
upstreams = ["orders-1"]
[rules]
deadline_ms = 20_000
"#;

async fn cell() -> (Cell, String) {
    cell_with(REGISTER.to_owned()).await
}

async fn cell_with(register: String) -> (Cell, String) {
    let mut engine = engine::Settings::default();
    engine.checkpoints.insert("summary".to_owned(), Tier::Memory);
    let plan =
        Plan { routers: 2, controllers: 1, engines: vec![engine], register, ..Plan::default() };
    let cell = Cell::start(plan).await.expect("the cell starts");
    let key = cell.issue_key("depots").await.expect("a key is issued");
    (cell, key)
}

/// Sends bytes unchanged and returns the status line and the body of the refusal.
fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut response = Vec::new();
    // A server that refuses early may reset the connection after its response, or wait for the rest
    // of the body. The data read until then is kept.
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8(response).unwrap();
    let status = response.lines().next().unwrap_or("no response").to_owned();
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    format!("{status}\n  {}", without_id(body))
}

/// Returns the body of a refusal without its request identifier, which differs for each request.
fn without_id(body: &str) -> String {
    match body.split_once(",\"request_id\"") {
        Some((start, _)) => format!("{start}}}}}"),
        None => body.to_owned(),
    }
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}content-length: \
         {length}\r\n\r\n{body}"
    )
}

fn requests(key: &str) -> Vec<(&'static str, String)> {
    let auth = format!("authorization: Bearer {key}\r\n");
    let chat = "/v1/chat/completions";
    let valid_body = r#"{"model":"summary","messages":[{"role":"user","content":"x"}]}"#;
    let oversized_body =
        format!("{{\"model\":\"summary\",\"prompt\":\"{}\"}}", "x".repeat(1_100_000));
    let many_headers: String = (0..80).map(|n| format!("x-h{n}: v\r\n")).collect();
    let long_header = format!("x-long: {}\r\n", "v".repeat(20_000));
    let order = "/services/orders/new";
    let key_in_prompt = format!("{{\"model\":\"summary\",\"prompt\":\"{key}\"}}");
    let key_in_order = format!("{{\"note\":\"{key}\"}}");
    let order_headers = format!("{auth}idempotency-key: k1\r\n");
    let smuggled = format!(
        "POST {chat} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{auth}content-length: 5\r\n\
         content-length: 60\r\n\r\n{valid_body}"
    );
    let get =
        |path: &str| format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{auth}\r\n");
    vec![
        ("no key", post(chat, "", valid_body)),
        ("an unknown key", post(chat, "authorization: Bearer ck_no\r\n", valid_body)),
        ("two keys", post(chat, &format!("{auth}x-api-key: {key}\r\n"), valid_body)),
        ("a key in the query", post("/v1/chat/completions?api_key=abc", &auth, valid_body)),
        ("the key in the body", post("/v1/completions", &auth, &key_in_prompt)),
        ("the key in an order", post(order, &order_headers, &key_in_order)),
        ("malformed json", post(chat, &auth, "{\"model\":")),
        ("json of another shape", post(chat, &auth, "[1]")),
        ("an unknown model", post(chat, &auth, &valid_body.replace("summary", "other"))),
        ("an adapter without a grant", post(chat, &auth, &valid_body.replace("summary", "winter"))),
        (
            "more tokens than the model takes",
            post(chat, &auth, &valid_body.replace("}]", "}],\"max_tokens\":2000")),
        ),
        ("an oversized body", post("/v1/completions", &auth, &oversized_body)),
        ("too many headers", post(chat, &format!("{auth}{many_headers}"), valid_body)),
        ("headers too long", post(chat, &format!("{auth}{long_header}"), valid_body)),
        ("two content lengths", smuggled),
        ("a wrong method", get(chat)),
        ("an unknown path", get("/v2/anything")),
        ("an unknown service", post("/services/none/x", &order_headers, "{}")),
        ("an order without a key of its own", post(order, &auth, "{}")),
        ("a path out of the service", post("/services/orders/../admin", &order_headers, "{}")),
        ("no http", "HELLO\r\n\r\n".to_owned()),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_is_refused_clearly_and_reaches_no_upstream() {
    let (cell, key) = cell().await;
    let address = cell.callers(0);
    let mut refusals = String::new();
    for (label, text) in requests(&key) {
        let refusal = tokio::task::spawn_blocking(move || exchange(address, &text)).await.unwrap();
        writeln!(refusals, "{label}: {refusal}").unwrap();
    }
    insta::assert_snapshot!(refusals);
    assert!(cell.engines[0].ledger().requests.is_empty());
    assert_eq!(cell.services[0].ledger().effects, 0);
    let metrics = format!("http://{}/metrics", cell.routers[0].operators);
    let metrics = reqwest::get(metrics).await.unwrap().text().await.unwrap();
    let counted: Vec<&str> =
        metrics.lines().filter(|line| line.starts_with("corianderyoke_refusals_total")).collect();
    assert!(counted.iter().any(|line| line.contains("bad_request")), "{counted:?}");
    cell.stop().await;
}

/// The router refuses a body by its declared length, or while it comes in, and the caller reads the
/// answer only after it has sent everything.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_that_is_still_sent_can_be_read() {
    let (cell, key) = cell().await;
    let address = cell.callers(0);
    let length = 3_000_000;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nconnection: close\r\nauthorization: Bearer \
         {key}\r\n"
    );
    let declared = format!("{head}content-length: {length}\r\n\r\n");
    let unknown_path = declared.replace("/v1/completions", "/v1/completions?api_key=x");
    for (head, status) in [(declared, "413"), (unknown_path, "400")] {
        let refusal = tokio::task::spawn_blocking(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(head.as_bytes()).unwrap();
            for _ in 0..30 {
                std::thread::sleep(Duration::from_millis(5));
                stream.write_all(&vec![b'x'; length / 30]).unwrap();
            }
            stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).unwrap();
            response
        });
        let refusal = refusal.await.unwrap();
        assert!(refusal.starts_with(&format!("HTTP/1.1 {status} ")), "{refusal}");
    }
    assert!(cell.engines[0].ledger().requests.is_empty());
    cell.stop().await;
}

// Guards against "not run" for a request that was sent to an upstream before its handler failed.
#[test]
fn request_whose_handler_failed_may_have_run() {
    for status in [500, 503] {
        let refusal = unhandled_refusal(status);
        assert_eq!((refusal.code, refusal.outcome), (Code::UpstreamFailed, Outcome::Unknown));
    }
    for (status, code) in [(400, Code::BadRequest), (404, Code::NotFound), (413, Code::TooLarge)] {
        let refusal = unhandled_refusal(status);
        assert_eq!((refusal.code, refusal.outcome), (code, Outcome::NotRun));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_is_refused() {
    let (cell, key) = cell().await;
    let address = cell.callers(1);
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nconnection: close\r\nauthorization: Bearer \
         {key}\r\ncontent-length: 100\r\n\r\n{{\"model\":\"summary\",\"prompt\":"
    );
    let refusal = tokio::task::spawn_blocking(move || exchange(address, &text)).await.unwrap();
    let expected = "HTTP/1.1 408 Request Timeout\n  {\"error\":{\"code\":\"request_timeout\",\
                    \"message\":\"the body came too slowly\",\"outcome\":\"not_run\"}}";
    assert_eq!(refusal, expected);
    assert!(cell.engines[0].ledger().requests.is_empty());
    cell.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_is_refused_regardless_of_its_length() {
    let (cell, key) = cell().await;
    let address = cell.callers(0);
    for (length, sent) in
        [("content-length: 12", "{\"bin\":"), ("transfer-encoding: chunked", "4\r\n{\"b\"")]
    {
        let text = format!(
            "POST /services/orders/new HTTP/1.1\r\nhost: h\r\nconnection: close\r\nauthorization: \
             Bearer {key}\r\nidempotency-key: k1\r\n{length}\r\n\r\n{sent}"
        );
        let refusal =
            tokio::task::spawn_blocking(move || exchange_truncated(address, &text)).await.unwrap();
        assert!(refusal.is_empty() || refusal.starts_with("HTTP/1.1 400 "), "{refusal}");
    }
    assert_eq!(cell.services[0].ledger().effects, 0);
    cell.stop().await;
}

/// Sends bytes, closes the sending side of the connection and returns the response.
fn exchange_truncated(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    // The server may still process the request after it has closed the connection.
    std::thread::sleep(FORWARD_TIME);
    String::from_utf8(response).unwrap()
}

/// Guards against a prompt whose bound wraps to a few tokens, or ends the request without a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_whose_bound_is_out_of_range_is_refused() {
    let register = REGISTER.replace("bytes_per_token = 2.0", "bytes_per_token = 1e-300");
    let (cell, key) = cell_with(register).await;
    let headers = format!("authorization: Bearer {key}\r\n");
    let body = r#"{"model":"summary","messages":[{"role":"user","content":"x"}]}"#;
    let text = post("/v1/chat/completions", &headers, body);
    let address = cell.callers(0);
    let response = tokio::task::spawn_blocking(move || exchange(address, &text)).await.unwrap();
    assert!(response.contains("prompt and output may take"), "{response}");
    assert!(cell.engines[0].ledger().requests.is_empty());
    cell.stop().await;
}
