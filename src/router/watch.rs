//! Aborts open requests that a new revision no longer allows, applies its rates, and reports the
//! held slots to the dispatch home.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Resource;
use corianderyoke_coord::register::Revision;
use corianderyoke_wire::peer;
use corianderyoke_wire::peer::request::Body as Call;
use tokio::time::sleep;

use crate::router::home::dispatch;
use crate::router::open::Cut;
use crate::router::open::Grant;
use crate::router::start::DISPATCH;
use crate::router::Router;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

/// Interval between checks of the register.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Interval between reports of held slots.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for the response to a report.
const REPORT_WITHIN: Duration = Duration::from_secs(1);

/// Checks the register and sends reports, until the task is dropped.
pub async fn run(router: Arc<Router>) {
    let mut seen = Revision::default();
    let mut reported = clock::now();
    loop {
        sleep(LOOK_EVERY).await;
        if !router.agent.config_fresh() {
            // Any key may have been revoked meanwhile, so abort every request that has one.
            router.open.cut_where(Cut::Stale, |grant| !grant.key.is_empty());
        }
        if let Some(register) = router.agent.config() {
            if register.revision != seen {
                seen = register.revision;
                in_force(&router, &register);
            }
        }
        dispatch::refresh(&router);
        if clock::now().since(reported) >= REPORT_EVERY {
            reported = clock::now();
            report(&router);
        }
    }
}

fn in_force(router: &Arc<Router>, register: &Register) {
    let rate = |team: &str| router.rate(team);
    router.limits.set_rates(rate);
    router.homes.tokens.set_rates(rate);
    let cut = router.open.cut_where(Cut::Revoked, |grant| !allowed(register, grant));
    if cut > 0 {
        events::log(Event::KeyRevoked, format_args!("cut={cut}"));
    }
}

/// Whether `register` allows a request with this grant.
pub fn allowed(register: &Register, grant: &Grant) -> bool {
    if let Some(name) = grant.target.strip_prefix("service/") {
        let known = register.caller(&grant.key).is_some();
        let open = register.services.get(name).is_some_and(|service| service.open);
        return match open {
            true => grant.key.is_empty() || known,
            false => known && register.may_use(&grant.team, Resource::Service(name)),
        };
    }
    let target = register.target(&grant.target);
    let may = target.is_some_and(|target| register.may_use(&grant.team, target.resource()));
    register.caller(&grant.key).is_some() && may
}

fn report(router: &Arc<Router>) {
    let router = Arc::clone(router);
    tokio::spawn(async move {
        let call = Call::Hold(peer::HoldRequest { slots: router.held.keys() });
        let kind = corianderyoke_coord::membership::Kind::Dispatch;
        router.call_home(kind, DISPATCH, call, REPORT_WITHIN).await;
    });
}
