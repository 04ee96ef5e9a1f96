//! Baseline without coordination: client-side routers that share no state.
//!
//! Each router enforces a static share of every team's limit. It picks the less loaded of two
//! random engines by its own in-flight counts, up to a cap per engine. A request that finds no free
//! engine waits in FIFO order.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use corianderyoke_coord::dispatch::TwoChoices;
use corianderyoke_coord::dispatch::TwoChoicesSettings;
use corianderyoke_coord::keys::ModelKey;
use corianderyoke_coord::keys::UpstreamKey;
use corianderyoke_coord::pools::Limits;
use corianderyoke_coord::pools::StaticShare;
use corianderyoke_coord::time::Tick;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Settings of a [`Baseline`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of routers.
    pub routers: usize,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Engines that have each model loaded, both by index.
    pub replicas: Vec<Vec<usize>>,
    /// Limit of in-flight requests per engine, split evenly among the routers.
    pub slots: u32,
    /// Limits of each team over all routers.
    pub limits: Vec<Limits>,
    /// Tokens that each request reserves from its team's limit.
    pub request_cost: u64,
    /// Seed of the random choices of engines.
    pub seed: u64,
}

#[derive(Debug)]
struct Router {
    balancer: TwoChoices,
    shares: Vec<StaticShare>,
    queued: IndexMap<u64, oneshot::Sender<UpstreamKey>>,
    next_number: u64,
}

/// The baseline's routers. Each has its own lock; no two are ever held at once.
#[derive(Debug)]
pub struct Baseline {
    settings: Settings,
    routers: Vec<Mutex<Router>>,
    start: Instant,
}

/// An engine slot that a request holds until [`Baseline::release`].
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    /// The engine's address.
    pub address: SocketAddr,
    router: usize,
    model: ModelKey,
    upstream: UpstreamKey,
}

/// Why a request gets no engine slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The router's share of the team's limit is exhausted.
    OverLimit,
    /// No engine had a free slot before the deadline.
    TimedOut,
}

impl Baseline {
    /// Creates the routers with full shares of the limits.
    pub fn new(settings: Settings) -> Baseline {
        let cap = (settings.slots / settings.routers as u32).max(1);
        let new_router = |number: usize| {
            let seed = settings.seed + number as u64;
            let mut balancer = TwoChoices::new(TwoChoicesSettings { cap, seed });
            for (model, engines) in settings.replicas.iter().enumerate() {
                let engines: Vec<_> =
                    engines.iter().map(|engine| UpstreamKey(*engine as u32)).collect();
                balancer.set_replicas(ModelKey(model as u32), &engines);
            }
            let limits = settings.limits.iter();
            let shares =
                limits.map(|limits| StaticShare::new(*limits, settings.routers as u64, Tick(0)));
            let shares = shares.collect();
            Mutex::new(Router { balancer, shares, queued: IndexMap::new(), next_number: 1 })
        };
        let routers = (0..settings.routers).map(new_router).collect();
        Baseline { routers, settings, start: Instant::now() }
    }

    fn now(&self) -> Tick {
        Tick(self.start.elapsed().as_micros() as u64)
    }

    /// Reserves the request's tokens and waits up to `deadline` for an engine slot.
    pub async fn acquire(
        &self,
        router: usize,
        team: usize,
        model: usize,
        deadline: Duration,
    ) -> Result<Slot, Rejection> {
        let index = router % self.routers.len();
        let model = ModelKey(model as u32);
        let receiver = {
            let mut router = self.routers[index].lock();
            let now = self.now();
            if !router.shares[team].reserve(self.settings.request_cost, now) {
                return Err(Rejection::OverLimit);
            }
            let number = router.next_number;
            router.next_number += 1;
            if let Some(upstream) = router.balancer.enqueue(model, number, deadline, now) {
                return Ok(self.slot(index, model, upstream));
            }
            let (sender, receiver) = oneshot::channel();
            router.queued.insert(number, sender);
            receiver
        };
        match timeout(deadline, receiver).await {
            Ok(Ok(upstream)) => Ok(self.slot(index, model, upstream)),
            _ => Err(Rejection::TimedOut),
        }
    }

    fn slot(&self, router: usize, model: ModelKey, upstream: UpstreamKey) -> Slot {
        let address = self.settings.engines[upstream.0 as usize];
        Slot { address, router, model, upstream }
    }

    /// Frees a slot and passes it on to the next queued request.
    pub fn release(&self, slot: &Slot) {
        let now = self.now();
        let mut router = self.routers[slot.router].lock();
        let mut freed = slot.upstream;
        // A queued request that timed out has dropped its receiver: the slot goes to the next one.
        while let Some((number, upstream)) = router.balancer.release(slot.model, freed, now) {
            let sender = router.queued.swap_remove(&number);
            if sender.is_some_and(|sender| sender.send(upstream).is_ok()) {
                return;
            }
            freed = upstream;
        }
    }
}
