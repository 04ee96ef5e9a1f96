//! The directory, readiness and metrics: small answers without a body to read.

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

/// Time for which callers keep an answer; a daemon that stops serves those that kept an older one.
const KEEP: Duration = Duration::from_secs(2);
/// Time for which a connection may be idle.
const IDLE: Duration = Duration::from_secs(15);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Takes connections until the task is ended.
pub async fn run(listener: TcpListener, shared: Arc<Shared>, registry: Arc<Registry>) {
    loop {
        let stream = accept::next(&listener).await;
        let (shared, registry) = (Arc::clone(&shared), Arc::clone(&registry));
        let service = service_fn(move |request| {
            let answer = answer(&shared, &registry, &request);
            async move { Ok::<_, Infallible>(answer) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(stream), service);
        // A caller that breaks off needs no answer.
        tokio::spawn(async move { drop(served.await) });
    }
}

fn answer(shared: &Shared, registry: &Registry, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        directory::PATH => resolve(shared),
        directory::READY_PATH if shared.is_ready() => status(StatusCode::OK),
        directory::READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
        METRICS_PATH => metrics(registry),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// The addresses that callers should use: daemons that were heard lately and are ready.
fn resolve(shared: &Shared) -> Response<Body> {
    let now = clock::now();
    let state = shared.state();
    let mut addresses: Vec<String> =
        state.roster.ready(now).map(|daemon| daemon.callers.to_string()).collect();
    if state.is_ready() {
        addresses.push(shared.settings.callers.to_string());
    }
    drop(state);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let most = Duration::from_secs_f64(shared.settings.bounds.keep_s);
    let bytes = directory::encode_response(&addresses, KEEP.min(most));
    typed(bytes, "application/json")
}

fn metrics(registry: &Registry) -> Response<Body> {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => typed(text.into_bytes(), "application/openmetrics-text; version=1.0.0"),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn typed(bytes: Vec<u8>, kind: &'static str) -> Response<Body> {
    let mut response = Response::new(body::whole(bytes.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::whole("".into()));
    *response.status_mut() = status;
    response
}
