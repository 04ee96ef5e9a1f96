//! Applies what engines say in their responses about further requests.

use std::time::Duration;

use corianderyoke_adapter::headers::ResponseHeaders;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::serving::engines::Change;
use corianderyoke_coord::serving::notice::Process;
use corianderyoke_util::clock;
use corianderyoke_util::events;
use corianderyoke_util::events::Event;
use http::StatusCode;

use crate::state::Shared;
use crate::watch;

/// Age of the latest read of the entries beyond which a process may have been replaced unnoticed.
const MAX_ENTRIES_AGE: Duration = Duration::from_secs(1);

/// Process of an engine that received a request, an order or an inspection.
#[derive(Clone, Copy, Debug)]
pub struct Receiver<'a> {
    /// Engine.
    pub key: UpstreamKey,
    /// Identity of the engine.
    pub id: &'a str,
    /// Its process when the request was sent.
    pub process: Process,
}

/// Records what a response says. `request` is the identifier of the request that it answers, or the
/// kind of request if it has none.
pub fn record(
    shared: &Shared,
    receiver: &Receiver<'_>,
    request: &str,
    status: StatusCode,
    facts: &ResponseHeaders,
) {
    let Receiver { key, id, process } = *receiver;
    let pause = facts.pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let is_silent = !facts.leaving && pause.is_none();
    if is_silent || facts.engine.as_deref().is_some_and(|responder| responder != id) {
        return;
    }
    let started_ms = process.started_ms;
    let mut state = shared.state();
    if let Some(pause) = pause {
        if state.engines.record_pause(key, process, pause, clock::now()) {
            let pause_ms = pause.as_millis();
            events::log(
                Event::UpstreamPaused,
                format_args!("engine={id} id={request} started_ms={started_ms:?} ms={pause_ms}"),
            );
        }
    }
    let is_new = facts.leaving && state.engines.record_leaving(key, process);
    let now = clock::now();
    if facts.leaving && state.entries_age(now) > MAX_ENTRIES_AGE {
        state.engines.record_unclear(key, process, now);
    }
    if is_new {
        let detail = format!("id={request} started_ms={started_ms:?} said in its response");
        watch::handle_change(shared, &mut state, id, Change::Left, &detail);
    }
}
