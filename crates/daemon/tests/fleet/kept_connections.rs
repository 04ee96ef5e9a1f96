//! Tests of engines that write a response once more on a kept connection, where it is read in place
//! of the response to a later request.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::fixture::Daemon;
use crate::fixture::Fixture;
use crate::raw_engine::answer;
use crate::raw_engine::refusal;
use crate::raw_engine::response;
use crate::raw_engine::RawEngine;
use crate::raw_engine::RawRequest;
use crate::raw_engine::Step;
use crate::raw_engine::NOT_EXECUTED;
use crate::raw_engine::SEAL;

/// How often engines ran each request.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<IndexMap<String, usize>>>);

impl Runs {
    fn record(&self, request: &RawRequest) {
        assert_eq!(request.body, b"a body", "{}", request.head);
        assert!(request.head.contains("\r\ncorianderyoke-expect-instance: i-"));
        *self.0.lock().entry(request.id.clone()).or_default() += 1;
    }

    fn of(&self, id: &str) -> usize {
        self.0.lock().get(id).copied().unwrap_or(0)
    }
}

/// Sends a request of a non-idempotent route. Returns the status, or `None` without a response.
async fn send(fixture: &Fixture, daemon: &Daemon, path: &str, id: &str) -> Option<u16> {
    let request = match path {
        "/once/" => fixture.request(daemon, path, id),
        _ => fixture.generation_request(daemon, path, id, "m1"),
    };
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    response.text().await.ok().map(|_| status)
}

/// Checks the outcome of a request that must run at most once, and not at all if its caller was told
/// that it wasn't executed.
fn check(runs: &Runs, id: &str, status: Option<u16>) {
    let count = runs.of(id);
    assert!(count <= 1, "request {id} ran {count} times, status {status:?}");
    let is_promise = matches!(status, Some(408 | 421 | 429 | 503));
    assert!(!is_promise || count == 0, "request {id} was refused with {status:?}, but ran");
}

/// Bytes of a refusal by the identifier of its request.
type Refuse = fn(&str) -> Vec<u8>;

fn misplaced(id: &str) -> Vec<u8> {
    response(421, id, &[], "not here")
}

const REFUSALS: [Refuse; 2] = [refusal, misplaced];
/// Routes whose requests may run at most once.
const ROUTES: [(&str, &str); 2] = [("/once/", "orders"), ("/stream/", "advice")];

/// Report of an engine that holds the model.
const REPORT: &str = r#"{"busy": false, "seq": 0, "models": [{"name": "m1"}]}"#;

/// Starts an engine that refuses the first request of every other connection, and writes the refusal
/// once more before its response to the second one.
async fn start_repeating(fixture: &Fixture, id: &str, service: &str, refuse: Refuse) -> Runs {
    let runs = Runs::default();
    let (recorded, refused) = (runs.clone(), Mutex::new(IndexMap::<usize, String>::new()));
    RawEngine::start(fixture, id, service, &["m1"], move |request| {
        let mut refused = refused.lock();
        match (request.method.as_str(), request.nth) {
            ("GET", _) => vec![Step::Send(response(200, "", &[], REPORT))],
            (_, 0) if request.connection.is_multiple_of(2) => {
                refused.insert(request.connection, request.id.clone());
                vec![Step::Send(refuse(&request.id))]
            }
            _ => {
                recorded.record(request);
                let stray = refused.shift_remove(&request.connection);
                let stray = stray.map(|id| Step::Send(refuse(&id)));
                let pause = Step::Pause(Duration::from_millis(20));
                let body = "id: 1\ndata: a\n\n";
                stray.into_iter().chain([pause, Step::Send(answer(&request.id, body))]).collect()
            }
        }
    })
    .await;
    runs
}

/// Guards against a refusal that an engine writes once more and that is believed for the request
/// which the engine runs, whether that is a later one or the same one at its second sending.
#[tokio::test]
async fn refusal_written_once_more_is_not_believed_for_a_request_that_runs() {
    for refuse in REFUSALS {
        for (path, service) in ROUTES {
            let fixture = Fixture::start().await;
            let first = start_repeating(&fixture, "i-1", service, refuse).await;
            let second = start_repeating(&fixture, "i-2", service, refuse).await;
            let daemon = fixture.daemon("d1").await;
            let mut served = 0;
            for number in 0..6 {
                let id = format!("{number:x}");
                let status = send(&fixture, &daemon, path, &id).await;
                let runs = Runs::default();
                runs.0.lock().insert(id.clone(), first.of(&id) + second.of(&id));
                check(&runs, &id, status);
                served += usize::from(status == Some(200));
            }
            assert!(served > 0, "{path}: no request was served");
        }
    }
}

/// Guards against a refusal that arrives once more on a connection that is idle.
#[tokio::test]
async fn refusal_written_once_more_on_an_idle_connection_is_not_believed() {
    let fixture = Fixture::start().await;
    let runs = Runs::default();
    let recorded = runs.clone();
    RawEngine::start(&fixture, "i-1", "orders", &[], move |request| match request.nth {
        0 => {
            let refusal = refusal(&request.id);
            let pause = Step::Pause(Duration::from_millis(5));
            vec![Step::Send(refusal.clone()), pause, Step::Send(refusal)]
        }
        _ => {
            recorded.record(request);
            vec![Step::Send(answer(&request.id, "answer"))]
        }
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for number in 0..12 {
        let id = format!("{number:x}");
        check(&runs, &id, send(&fixture, &daemon, "/once/", &id).await);
    }
}

/// Guards against a response that an engine writes once more and whose limit is believed.
#[tokio::test]
async fn headers_of_a_response_to_another_request_are_not_believed() {
    let fixture = Fixture::start().await;
    let previous = Mutex::new(IndexMap::<usize, String>::new());
    RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
        let stray = previous.lock().insert(request.connection, request.id.clone());
        let stray = stray.filter(|_| request.nth == 2);
        let stray = stray.map(|id| Step::Send(response(503, &id, &[SEAL, "server-limit: 0"], "")));
        stray.into_iter().chain([Step::Send(answer(&request.id, "answer"))]).collect()
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for number in 0..3 {
        send(&fixture, &daemon, "/once/", &format!("{number:x}")).await;
    }
    let ids: Vec<String> = (8..12).map(|number| format!("{number:x}")).collect();
    let later = ids.iter().map(|id| send(&fixture, &daemon, "/once/", id));
    let statuses = futures::future::join_all(later).await;
    assert_eq!(statuses, [Some(200); 4], "the engine named no limit");
}

/// Guards against orders and reports that share a connection with other requests: their responses
/// bear no identifier, so that a late one can't be told from theirs.
#[tokio::test]
async fn orders_and_reports_come_first_on_their_connections() {
    let fixture = Fixture::start().await;
    let engine = RawEngine::start(&fixture, "i-1", "advice", &[], move |request| {
        let reply = match request.path.as_str() {
            "/report" => response(200, "", &[], "{\"busy\": false, \"seq\": 0, \"models\": []}"),
            "/order" => response(409, "", &[], ""),
            _ => misplaced(&request.id),
        };
        vec![Step::Send(reply)]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    for number in 0..4 {
        let id = format!("{number:x}");
        send(&fixture, &daemon, "/resume/", &id).await;
    }
    let received = engine.received();
    let unnamed = received.iter().filter(|request| request.id.is_empty());
    let nths: Vec<usize> = unnamed.map(|request| request.nth).collect();
    assert!(nths.len() >= 4, "the engine gets reports and orders");
    let late: Vec<usize> = nths.into_iter().filter(|nth| *nth > 0).collect();
    assert!(late.is_empty(), "on connections that had carried others: {late:?}");
}

/// Guards against a status that an engine gives to a request which it ran, and that promises the
/// caller that it wasn't executed.
#[tokio::test]
async fn status_without_the_header_that_the_request_was_not_executed_is_no_promise() {
    for status in [408, 429, 503] {
        let fixture = Fixture::start().await;
        let runs = Runs::default();
        let recorded = runs.clone();
        RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
            recorded.record(request);
            vec![Step::Send(response(status, &request.id, &[SEAL], "failed"))]
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        let received = send(&fixture, &daemon, "/once/", "1").await;
        assert_eq!(runs.of("1"), 1);
        check(&runs, "1", received);
    }
}

/// Guards against a header that the request wasn't executed beside an answer that says otherwise.
#[tokio::test]
async fn successful_response_that_claims_not_to_have_run_is_no_refusal() {
    let fixture = Fixture::start().await;
    let runs = Runs::default();
    let recorded = runs.clone();
    RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
        recorded.record(request);
        vec![Step::Send(response(200, &request.id, &[SEAL, NOT_EXECUTED], "answer"))]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    check(&runs, "1", send(&fixture, &daemon, "/once/", "1").await);
}

/// Guards against a request that counts as unsent because its kept connection ended under it.
#[tokio::test]
async fn request_whose_kept_connection_ends_under_it_is_not_sent_again() {
    for end in [Step::Close, Step::Reset] {
        let fixture = Fixture::start().await;
        let runs = Runs::default();
        let recorded = runs.clone();
        RawEngine::start(&fixture, "i-1", "orders", &[], move |request| {
            recorded.record(request);
            match request.nth {
                0 => vec![Step::Send(answer(&request.id, "answer"))],
                _ => vec![end.clone()],
            }
        })
        .await;
        let daemon = fixture.daemon("d1").await;
        for number in 0..8 {
            let id = format!("{number:x}");
            check(&runs, &id, send(&fixture, &daemon, "/once/", &id).await);
        }
    }
}

/// Guards against a request that an engine refuses again and again, each time on a new connection.
#[tokio::test]
async fn request_that_is_refused_is_sent_at_growing_intervals() {
    let fixture = Fixture::start().await;
    let engine = RawEngine::start(&fixture, "i-1", "orders", &[], |request| {
        vec![Step::Send(refusal(&request.id))]
    })
    .await;
    let daemon = fixture.daemon("d1").await;
    assert_eq!(send(&fixture, &daemon, "/once/", "1").await, Some(503));
    let count = engine.received().len();
    assert!((2..=16).contains(&count), "the request was sent {count} times in 4 s");
}
