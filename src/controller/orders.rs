//! Sends orders to upstreams and asks them for their state.

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
    /// Address of an upstream, by the register in force.
    pub(super) fn address(&self, upstream: &str) -> Option<SocketAddr> {
        let register = self.agent.config()?;
        register.upstreams.get(upstream)?.address.parse().ok()
    }

    /// Sends an order, unless the term has ended meanwhile; what became of it.
    pub(super) async fn order(&self, order: &Order) -> OrderOutcome {
        let (model, upstream) = {
            let planner = self.planner.lock();
            let model = planner.model_name(order.model).to_owned();
            (model, planner.upstream_name(order.upstream).to_owned())
        };
        let Some(address) = self.address(&upstream).filter(|_| self.serves()) else {
            return OrderOutcome::Unsent;
        };
        let sent = control::Order {
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
        self.record_order(&sent, &upstream);
        let op = order.op;
        events::log(Event::Ordered, format_args!("upstream={upstream} model={model} op={op:?}"));
        let answer = match self.upstreams.order(address, &sent).await {
            Ok(control::Reply::Accepted) => OrderOutcome::Accepted,
            Ok(control::Reply::StaleFence) => OrderOutcome::StaleFence,
            Ok(control::Reply::Overcommit) => OrderOutcome::Overcommit,
            Ok(control::Reply::Refused { .. }) => OrderOutcome::Refused,
            Err(e) if e.outcome == Outcome::NotRun => OrderOutcome::Unsent,
            Err(_) => OrderOutcome::Lost,
        };
        if answer != OrderOutcome::Accepted {
            let detail = format_args!("upstream={upstream} model={model} answer={answer:?}");
            events::log(Event::OrderRefused, detail);
        }
        answer
    }

    /// Records that an order is sent.
    pub(super) fn record_order(&self, sent: &control::Order, upstream: &str) {
        let register = self.agent.config();
        let zone = register.as_ref().and_then(|register| register.upstreams.get(upstream));
        self.agent.history().record(|| Recorded::OrderSent {
            order: sent.order.clone(),
            op: format!("{:?}", sent.op).to_lowercase(),
            model: sent.model.clone(),
            upstream: upstream.to_owned(),
            zone: zone.map(|upstream| upstream.zone.clone()).unwrap_or_default(),
            fence: sent.fence,
        });
    }

    /// Asks an upstream for its state; `None` where it doesn't answer.
    pub(super) async fn observe(&self, upstream: UpstreamKey, asked: Tick) -> Option<ProbeReply> {
        let name = self.planner.lock().upstream_name(upstream).to_owned();
        let address = self.address(&name)?;
        let state = self.upstreams.state(address).await.ok()?;
        let load = self.upstreams.load(address).await.unwrap_or_default();
        let planner = self.planner.lock();
        let models = state.models.iter().filter_map(|model| {
            let held = match model.state {
                control::ModelState::Loading => ModelState::Loading,
                control::ModelState::Loaded => ModelState::Loaded,
                control::ModelState::Unloading => ModelState::Unloading,
            };
            Some((planner.model_key(&model.model)?, (held, model.bytes)))
        });
        let models = models.collect();
        let mut tiers = self.tiers.lock();
        let checkpoints = state.checkpoints.iter().filter_map(|(model, tier)| {
            let tier = match tier {
                control::Tier::Memory => Tier::Memory,
                control::Tier::Disk => Tier::Disk,
                control::Tier::Remote => Tier::Remote,
            };
            tiers.note(model, tier);
            Some((planner.model_key(model)?, tier))
        });
        let checkpoints = checkpoints.collect();
        drop(planner);
        drop(tiers);
        self.adapters.lock().seen(&name, &state.models);
        Some(ProbeReply {
            sent_at: asked,
            fence: state.fence,
            running: load.running,
            models,
            checkpoints,
        })
    }

    /// Asks an upstream and hands the answer to the planner.
    pub(super) async fn look(&self, upstream: UpstreamKey, asked: Tick) {
        let observed = self.observe(upstream, asked).await;
        let mut planner = self.planner.lock();
        match observed {
            Some(state) => planner.probe_replied(clock::now(), upstream, &state),
            None => planner.probe_failed(clock::now(), upstream),
        }
        self.wanted.notify_one();
    }
}
