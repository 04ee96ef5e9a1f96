//! Calls to plain services. Calls that aren't idempotent go through the ledger of claims.
//!
//! This module admits calls. [`repeat`] sends calls that may be retried. [`once`] carries out the
//! ledger's effects for the others, with the claims' rows in [`rows`].

mod once;
mod repeat;
mod rows;

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Resource;
use corianderyoke_coord::register::Service;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as HistoryEvent;
use corianderyoke_upstream::service::Call;

use self::once::call_once;
use self::repeat::call_with_retries;
use crate::router::http::Answer;
use crate::router::http::Parts;
use crate::router::open::AbortReason;
use crate::router::open::Grant;
use crate::router::refusal::Code;
use crate::router::refusal::Outcome;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::Caller;
use crate::router::Router;
use crate::util::clock;

pub use self::once::run;
pub use self::once::KeyedCalls;
pub use self::rows::row_key;

/// Header with the idempotency key that a caller chose for a call.
const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Retry delay sent to callers while a call is in progress or a service is unavailable.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Serves a call of any method. `rest` is the service's name followed by the path.
pub async fn serve(router: &Arc<Router>, rest: &str, parts: Parts) -> Result<Answer> {
    let arrived = clock::now();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let register = router.register()?;
    let (caller, service) = admit(router, &register, name, &parts)?;
    if parts.body.len() as u64 > service.body_bytes {
        let message = format!("service `{name}` takes at most {} bytes", service.body_bytes);
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    let target = format!("service/{name}");
    let grant = Grant { key: caller.key.clone(), team: caller.team.clone(), target };
    let ticket = router.open_request(grant)?;
    let deadline = arrived + Duration::from_millis(register.rules.deadline_ms);
    router.record(|| HistoryEvent::Call {
        request: parts.id.clone(),
        key: (!caller.key.is_empty()).then(|| caller.key.clone()),
        open: service.open,
        deadline_us: deadline.since(arrived).as_micros() as u64,
    });
    let call = upstream_call(&parts, path, &caller, deadline);
    let is_safe = matches!(parts.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let answer = if service.repeatable || is_safe {
        call_with_retries(router, name, &call, &caller.team, &ticket, deadline).await
    } else {
        call_once(router, name, call, ticket, &caller, deadline, &parts).await
    };
    if answer.is_ok() {
        router.metrics.count_call(&caller.team);
    }
    answer
}

fn admit(
    router: &Router,
    register: &Register,
    name: &str,
    parts: &Parts,
) -> Result<(Caller, Service)> {
    let not_found = || {
        let message = format!("service `{name}` doesn't exist for this team");
        Refusal::not_run(Code::NotFound, message)
    };
    let service = register.services.get(name);
    if let Some(service) = service.filter(|service| service.open) {
        let anonymous = Caller { key: String::new(), team: String::new(), secret: String::new() };
        let has_key =
            parts.header("authorization").is_some() || parts.header("x-api-key").is_some();
        let caller = if has_key { router.authenticate(parts)? } else { anonymous };
        return Ok((caller, service.clone()));
    }
    let caller = router.authenticate(parts)?;
    let service = service.ok_or_else(not_found)?;
    if !register.may_use(&caller.team, Resource::Service(name)) {
        return Err(not_found());
    }
    Ok((caller, service.clone()))
}

fn idempotency_key(parts: &Parts) -> Result<String> {
    let key = parts.header(KEY_HEADER).unwrap_or_default();
    let valid_length = (1..=MAX_KEY_BYTES).contains(&key.len());
    if !valid_length || !key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/') {
        let message = "a call that may not be repeated needs an `idempotency-key` header of 1 to \
                       200 printable characters without blanks or slashes";
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    Ok(key.to_owned())
}

fn upstream_call(parts: &Parts, path: &str, caller: &Caller, deadline: Tick) -> Call {
    let query = if parts.query.is_empty() { String::new() } else { format!("?{}", parts.query) };
    Call {
        id: parts.id.clone(),
        method: parts.method.clone(),
        path: format!("/{path}{query}"),
        headers: parts.headers.iter().cloned().collect(),
        body: parts.body.clone(),
        connection: Some(Arc::clone(&parts.connection)),
        timeout: deadline.since(clock::now()),
        secret: caller.secret.clone(),
    }
}

fn abort_refusal(reason: AbortReason) -> Refusal {
    let refusal = match reason {
        AbortReason::Revoked => Refusal::not_run(Code::Unauthorized, "the key was revoked"),
        _ => Refusal::not_run(Code::Unavailable, "the call was cut"),
    };
    refusal.with_outcome(Outcome::Unknown)
}

fn complete_answer(answer: corianderyoke_upstream::service::Answer) -> Answer {
    let headers = answer.headers.into_iter().collect();
    Answer::Complete { status: answer.status, headers, body: answer.body }
}
