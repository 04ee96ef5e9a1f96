//! Sends orders to upstreams and probes their state.

use std::net::SocketAddr;

use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::placement::ModelState;
use corianderyoke_coord::placement::Op;
use corianderyoke_coord::placement::Order;
use corianderyoke_coord::placement::OrderOutcome;
use corianderyoke_coord::placement::ProbeReply;
use corianderyoke_coord::placement::Tier;
use corianderyoke_coord::time::Tick;
use corianderyoke_history::Event as Recorded;
use corianderyoke_upstream::control;
use corianderyoke_upstream::Outcome;

use crate::controller::Controller;
use crate::util::clock;
use crate::util::events;
use crate::util::events::Event;

impl Controller {
    /// Address of an upstream in the register in force; `None` if absent or malformed.
    pub(super) fn address(&self, upstream: &str) -> Option<SocketAddr> {
        let register = self.agent.config()?;
        register.upstreams.get(upstream)?.address.parse().ok()
    }

    /// Sends an order, unless this controller no longer serves as the placement home.
    pub(super) async fn send_order(&self, order: &Order) -> OrderOutcome {
        let (model, upstream) = {
            let planner = self.planner.lock();
            let model = planner.model_name(order.model).to_owned();
            (model, planner.upstream_name(order.upstream).to_owned())
        };
        let Some(address) = self.address(&upstream).filter(|_| self.serves()) else {
            return OrderOutcome::Unsent;
        };
        let message = control::Order {
            order: format!("{}-{}", order.fence, order.id),
            op: match order.op {
                Op::Load => control::Op::Load,
                Op::Unload => control::Op::Unload,
            },
            model: model.clone(),
            adapter: None,
            bytes: order.bytes,
            fence: order.fence,
        };
        self.record_order(&message, &upstream);
        let op = order.op;
        events::log(Event::Ordered, format_args!("upstream={upstream} model={model} op={op:?}"));
        let outcome = match self.upstreams.order(address, &message).await {
            Ok(control::Reply::Accepted) => OrderOutcome::Accepted,
            Ok(control::Reply::StaleFence) => OrderOutcome::StaleFence,
            Ok(control::Reply::Overcommit) => OrderOutcome::Overcommit,
            Ok(control::Reply::Refused { .. }) => OrderOutcome::Refused,
            Err(e) if e.outcome == Outcome::NotRun => OrderOutcome::Unsent,
            Err(_) => OrderOutcome::Lost,
        };
        if outcome != OrderOutcome::Accepted {
            let detail = format_args!("upstream={upstream} model={model} answer={outcome:?}");
            events::log(Event::OrderRefused, detail);
        }
        outcome
    }

    /// Records in the history that an order is about to be sent.
    pub(super) fn record_order(&self, message: &control::Order, upstream: &str) {
        let register = self.agent.config();
        let entry = register.as_ref().and_then(|register| register.upstreams.get(upstream));
        self.agent.history().record(|| Recorded::OrderSent {
            order: message.order.clone(),
            op: format!("{:?}", message.op).to_lowercase(),
            model: message.model.clone(),
            upstream: upstream.to_owned(),
            zone: entry.map(|upstream| upstream.zone.clone()).unwrap_or_default(),
            fence: message.fence,
        });
    }

    /// Reads an upstream's state and load; `None` if it has no address or its state can't be read.
    pub(super) async fn fetch_state(
        &self,
        upstream: UpstreamKey,
        sent_at: Tick,
    ) -> Option<ProbeReply> {
        let name = self.planner.lock().upstream_name(upstream).to_owned();
        let address = self.address(&name)?;
        let state = self.upstreams.state(address).await.ok()?;
        let load = self.upstreams.load(address).await.unwrap_or_default();
        let planner = self.planner.lock();
        let models = state.models.iter().filter_map(|model| {
            let model_state = match model.state {
                control::ModelState::Loading => ModelState::Loading,
                control::ModelState::Loaded => ModelState::Loaded,
                control::ModelState::Unloading => ModelState::Unloading,
            };
            Some((planner.model_key(&model.model)?, (model_state, model.bytes)))
        });
        let models = models.collect();
        let mut tiers = self.tiers.lock();
        let checkpoints = state.checkpoints.iter().filter_map(|(model, tier)| {
            let tier = match tier {
                control::Tier::Memory => Tier::Memory,
                control::Tier::Disk => Tier::Disk,
                control::Tier::Remote => Tier::Remote,
            };
            tiers.record(model, tier);
            Some((planner.model_key(model)?, tier))
        });
        let checkpoints = checkpoints.collect();
        drop(planner);
        drop(tiers);
        self.adapters.lock().update_upstream(&name, &state.models);
        Some(ProbeReply { sent_at, fence: state.fence, running: load.running, models, checkpoints })
    }

    /// Probes an upstream and passes the result to the planner.
    pub(super) async fn probe(&self, upstream: UpstreamKey, sent_at: Tick) {
        let reply = self.fetch_state(upstream, sent_at).await;
        let mut planner = self.planner.lock();
        match reply {
            Some(reply) => planner.probe_replied(clock::now(), upstream, &reply),
            None => planner.probe_failed(clock::now(), upstream),
        }
        self.wakeup.notify_one();
    }
}
