//! Aborts open requests that a new revision no longer allows, applies its rates, and reports the
//! held slots to the dispatch home.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Resource;
use corianderyoke_coord::register::Revision;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as PeerRequest;
use tokio::time::sleep;

use crate::router::home::dispatch;
use crate::router::open::AbortReason;
use crate::router::open::Grant;
use crate::router::slots::CELL_RESOURCE;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Interval between checks of the register.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports of held slots.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the response to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks the register and sends reports, until the task is dropped.
pub async fn run(router: Arc<Router>) {
    let mut applied = Revision::default();
    let mut last_report = clock::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        if !router.agent.config_fresh() {
            // Any key may have been revoked meanwhile, so abort every request that has one.
            router.open_requests.abort_where(AbortReason::Stale, |grant| !grant.key.is_empty());
        }
        if let Some(register) = router.agent.config() {
            if register.revision != applied {
                applied = register.revision;
                apply_register(&router, &register);
            }
        }
        dispatch::refresh(&router);
        if clock::now().since(last_report) >= REPORT_INTERVAL {
            last_report = clock::now();
            report_slots(&router);
        }
    }
}

fn apply_register(router: &Arc<Router>, register: &Register) {
    let rate_limit = |team: &str| router.rate_limit(team);
    router.limiter.set_rate_limits(rate_limit);
    router.homes.tokens.set_rate_limits(rate_limit);
    let aborted =
        router.open_requests.abort_where(AbortReason::Revoked, |grant| !permits(register, grant));
    if aborted > 0 {
        events::log(Event::KeyRevoked, format_args!("cut={aborted}"));
    }
}

/// Whether `register` allows a request with this grant.
pub fn permits(register: &Register, grant: &Grant) -> bool {
    if let Some(name) = grant.target.strip_prefix("service/") {
        let known = register.caller(&grant.key).is_some();
        let open = register.services.get(name).is_some_and(|service| service.open);
        return match open {
            true => grant.key.is_empty() || known,
            false => known && register.may_use(&grant.team, Resource::Service(name)),
        };
    }
    let target = register.target(&grant.target);
    let may_use = target.is_some_and(|target| register.may_use(&grant.team, target.resource()));
    register.caller(&grant.key).is_some() && may_use
}

fn report_slots(router: &Arc<Router>) {
    let router = Arc::clone(router);
    tokio::spawn(async move {
        let request = PeerRequest::Hold(peer::HoldRequest { slots: router.held_slots.keys() });
        let kind = corianderyoke_coord::membership::Kind::Dispatch;
        router.call_home(kind, CELL_RESOURCE, request, REPORT_TIMEOUT).await;
    });
}
