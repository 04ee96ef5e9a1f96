//! The baseline for the whole path: callers' side routers that choose engines by themselves.
//!
//! Each router has a fixed part of every team's limit and picks the less loaded of two random
//! engines by its own count, up to a cap an engine; what finds no engine waits in arrival order.

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

/// What the baseline consists of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of routers.
    pub routers: usize,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Engines that hold each model, by index.
    pub holders: Vec<Vec<usize>>,
    /// Requests at once on one engine over all routers.
    pub slots: u32,
    /// The teams' whole limits.
    pub limits: Vec<Limits>,
    /// Tokens that a request reserves.
    pub cost: u64,
    /// Seed of the choices.
    pub seed: u64,
}

#[derive(Debug)]
struct Router {
    caps: TwoChoices,
    shares: Vec<StaticShare>,
    waiting: IndexMap<u64, oneshot::Sender<UpstreamKey>>,
    next: u64,
}

/// The baseline's routers. Locks: one a router, never two at once.
#[derive(Debug)]
pub struct Choice {
    settings: Settings,
    routers: Vec<Mutex<Router>>,
    start: Instant,
}

/// An engine that a request may use until it is given back.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The engine's address.
    pub address: SocketAddr,
    router: usize,
    model: ModelKey,
    upstream: UpstreamKey,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The router's part of the team's limit is used up.
    OverLimit,
    /// No engine was free in time.
    Late,
}

impl Choice {
    /// Routers with full parts of the limits.
    pub fn new(settings: Settings) -> Choice {
        let cap = (settings.slots / settings.routers as u32).max(1);
        let router = |number: usize| {
            let seed = settings.seed + number as u64;
            let mut caps = TwoChoices::new(TwoChoicesSettings { cap, seed });
            for (model, engines) in settings.holders.iter().enumerate() {
                let engines: Vec<_> = engines.iter().map(|e| UpstreamKey(*e as u32)).collect();
                caps.set_replicas(ModelKey(model as u32), &engines);
            }
            let parts = settings.limits.iter();
            let shares =
                parts.map(|whole| StaticShare::new(*whole, settings.routers as u64, Tick(0)));
            let shares = shares.collect();
            Mutex::new(Router { caps, shares, waiting: IndexMap::new(), next: 1 })
        };
        let routers = (0..settings.routers).map(router).collect();
        Choice { routers, settings, start: Instant::now() }
    }

    fn now(&self) -> Tick {
        Tick(self.start.elapsed().as_micros() as u64)
    }

    /// Waits for a place, `limit` at most.
    pub async fn enter(
        &self,
        router: usize,
        team: usize,
        model: usize,
        limit: Duration,
    ) -> Result<Place, Refused> {
        let index = router % self.routers.len();
        let model = ModelKey(model as u32);
        let told = {
            let mut router = self.routers[index].lock();
            let now = self.now();
            if !router.shares[team].reserve(self.settings.cost, now) {
                return Err(Refused::OverLimit);
            }
            let number = router.next;
            router.next += 1;
            if let Some(upstream) = router.caps.enqueue(model, number, limit, now) {
                return Ok(self.place(index, model, upstream));
            }
            let (tell, told) = oneshot::channel();
            router.waiting.insert(number, tell);
            told
        };
        match timeout(limit, told).await {
            Ok(Ok(upstream)) => Ok(self.place(index, model, upstream)),
            _ => Err(Refused::Late),
        }
    }

    fn place(&self, router: usize, model: ModelKey, upstream: UpstreamKey) -> Place {
        let address = self.settings.engines[upstream.0 as usize];
        Place { address, router, model, upstream }
    }

    /// Gives a place back, and on to the requests that wait.
    pub fn leave(&self, place: &Place) {
        let now = self.now();
        let mut router = self.routers[place.router].lock();
        let mut freed = place.upstream;
        // A waiting request that was given up leaves its place to the next one.
        while let Some((number, upstream)) = router.caps.release(place.model, freed, now) {
            let tell = router.waiting.swap_remove(&number);
            if tell.is_some_and(|tell| tell.send(upstream).is_ok()) {
                return;
            }
            freed = upstream;
        }
    }
}
