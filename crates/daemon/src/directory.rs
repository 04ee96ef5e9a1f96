//! Serves the directory of daemons, the readiness probe and the metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use corianderyoke_adapter::directory;
use corianderyoke_util::clock;
use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::accept;
use crate::body;
use crate::body::Body;
use crate::state::Shared;

/// Time for which callers cache a response. A stopping daemon still serves callers with an older
/// response in their cache.
const CACHE_TIME: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest buffer of a connection. hyper's default is over ten times that.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Accepts connections until the task is aborted.
pub async fn run(listener: TcpListener, shared: Arc<Shared>, registry: Arc<Registry>) {
    loop {
        let (stream, connection) = accept::next(&listener, &shared.memory).await;
        let (shared, registry) = (Arc::clone(&shared), Arc::clone(&registry));
        let service = service_fn(move |request| {
            let response = handle(&shared, &registry, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                // An error means that the caller closed the connection, so nothing remains to be done.
                _ = served => {}
                () = connection.closed() => {}
            }
        });
    }
}

fn handle(shared: &Shared, registry: &Registry, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        directory::PATH => resolve(shared),
        directory::READY_PATH if shared.is_ready() => empty_response(StatusCode::OK),
        directory::READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        METRICS_PATH => render_metrics(registry),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Responds with the addresses that callers should use: live daemons that are ready and reach engines.
fn resolve(shared: &Shared) -> Response<Body> {
    let now = clock::now();
    let state = shared.state();
    let mut addresses: Vec<String> =
        state.roster.ready(now).map(|daemon| daemon.callers.to_string()).collect();
    // A daemon that reaches no engine is named only if no other can take its callers.
    if state.is_ready() && (!state.reach.is_detached() || addresses.is_empty()) {
        addresses.push(shared.settings.callers.to_string());
    }
    drop(state);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let limit = shared.settings.bounds.max_cache();
    let cache_time = limit.map_or(CACHE_TIME, |limit| CACHE_TIME.min(limit));
    let bytes = directory::encode_response(&addresses, cache_time);
    content_response(bytes, "application/json")
}

fn render_metrics(registry: &Registry) -> Response<Body> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => {
            content_response(text.into_bytes(), "application/openmetrics-text; version=1.0.0")
        }
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn content_response(bytes: Vec<u8>, content_type: &'static str) -> Response<Body> {
    let mut response = Response::new(body::full(bytes.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full("".into()));
    *response.status_mut() = status;
    response
}
