//! Simulates the routers and the home of one team in virtual time, over a faulty network.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderyoke_coord::keys::MemberKey;
use corianderyoke_coord::pools::Bucket;
use corianderyoke_coord::pools::Counters;
use corianderyoke_coord::pools::Effect;
use corianderyoke_coord::pools::Grant;
use corianderyoke_coord::pools::GrantRequest;
use corianderyoke_coord::pools::Limits;
use corianderyoke_coord::pools::Reason;
use corianderyoke_coord::pools::Reservation;
use corianderyoke_coord::pools::Slice;
use corianderyoke_coord::pools::SliceSettings;
use corianderyoke_coord::time::Tick;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Network faults: message loss and duplication in parts per thousand, and the maximum delay.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: u32,
    pub duplicate: u32,
    pub delay: Duration,
}

/// A message or timer, with the index of its router.
#[derive(Clone, Debug)]
enum Message {
    GrantRequest(usize, GrantRequest),
    Grant(usize, Grant),
    /// Epoch of the new home, and the counters for its inventory.
    Snapshot(usize, u64, Counters),
    /// End of a request: its ticket and the tokens it used.
    Settle(usize, u64, u64),
}

pub struct Router {
    pub slice: Slice,
    drift_ppm: i64,
    paused_until: u64,
    /// Reservations of running requests by ticket, with their index in `usage`.
    running: BTreeMap<u64, (Reservation, usize)>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    pub requested: u64,
    pub admitted: u64,
    pub refused: u64,
    pub messages: u64,
}

/// State of the simulation. Times are in microseconds.
pub struct World {
    pub now: u64,
    pub home: Option<Bucket>,
    pub routers: Vec<Option<Router>>,
    pub count: Count,
    /// Time of each reservation and the tokens its request used, or all reserved ones until it is
    /// settled.
    pub usage: Vec<(u64, u64)>,
    pub refusals: Vec<(u64, Reason)>,
    limits: Limits,
    epoch: u64,
    home_drift_ppm: i64,
    faults: Faults,
    rng: ChaCha8Rng,
    /// Messages in transit, by arrival time and number.
    messages: BTreeMap<(u64, u64), Message>,
    next_id: u64,
}

/// Reading of a clock that drifts by `drift_ppm` parts per million from true time.
fn clock(now: u64, drift_ppm: i64) -> Tick {
    Tick((now as i64 + now as i64 * drift_ppm / 1_000_000) as u64)
}

impl World {
    pub fn new(
        settings: SliceSettings,
        limits: Limits,
        drifts_ppm: &[i64],
        faults: Faults,
    ) -> Self {
        let now = 1_000_000;
        let router = |drift_ppm: &i64| {
            let slice = Slice::new(settings, 1, limits, clock(now, *drift_ppm));
            Some(Router { slice, drift_ppm: *drift_ppm, paused_until: 0, running: BTreeMap::new() })
        };
        World {
            now,
            home: Some(Bucket::new_full(1, limits, clock(now, drifts_ppm[0]))),
            routers: drifts_ppm.iter().map(router).collect(),
            count: Count::default(),
            usage: Vec::new(),
            refusals: Vec::new(),
            limits,
            epoch: 1,
            home_drift_ppm: drifts_ppm[0],
            faults,
            rng: ChaCha8Rng::seed_from_u64(7),
            messages: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Runs the simulation for `span`; routers tick every 10 ms.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while self.now < end {
            let tick = (self.now / 10_000 + 1) * 10_000;
            let until = tick.min(end);
            self.deliver(until);
            self.now = until;
            if until == tick {
                (0..self.routers.len()).for_each(|router| self.tick(router));
            }
        }
    }

    pub fn request(&mut self, index: usize, tokens: u64, deadline: Duration) {
        let now = self.now;
        self.next_id += 1;
        let ticket = self.next_id;
        let Some(router) = self.running_router(index) else {
            return;
        };
        let local = clock(now, router.drift_ppm);
        let effects = router.slice.reserve(ticket, tokens, local + deadline, local);
        self.count.requested += 1;
        self.apply(index, effects);
    }

    pub fn kill(&mut self, index: usize) {
        self.routers[index] = None;
        let now = clock(self.now, self.home_drift_ppm);
        if let Some(home) = &mut self.home {
            home.remove_router(MemberKey(index as u32), now);
        }
    }

    pub fn pause(&mut self, index: usize, span: Duration) {
        let until = self.now + span.as_micros() as u64;
        if let Some(router) = &mut self.routers[index] {
            router.paused_until = until;
        }
    }

    /// Moves the home to another clock; all routers switch to it first. Without a handover the
    /// previous home's level is lost.
    pub fn move_home(&mut self, drift_ppm: i64, with_handover: bool) {
        self.epoch += 1;
        let old_now = clock(self.now, self.home_drift_ppm);
        let previous = self.home.take().map(|mut home| home.hand_over(old_now));
        let mut members = Vec::new();
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(router) = router {
                router.slice.switch_home(self.epoch, clock(self.now, router.drift_ppm));
                members.push(MemberKey(index as u32));
            }
        }
        self.home_drift_ppm = drift_ppm;
        let now = clock(self.now, drift_ppm);
        let mut home = Bucket::new_successor(self.epoch, self.limits, &members, now);
        if let (true, Some(handover)) = (with_handover, previous) {
            home.accept_handover(handover);
        }
        self.home = Some(home);
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let now = clock(self.now, self.home_drift_ppm);
        if let Some(home) = &mut self.home {
            home.set_limits(limits, now);
        }
        for router in self.routers.iter_mut().flatten() {
            router.slice.set_limits(limits, clock(self.now, router.drift_ppm));
        }
    }

    /// Maximum over all windows of the tokens used beyond `rate × window`.
    pub fn worst_excess(&self, rate: f64) -> f64 {
        let mut worst = 0.0_f64;
        let mut sum = 0.0_f64;
        let mut last = self.now;
        for (at, tokens) in &self.usage {
            // Kadane's algorithm: either extend the window or start a new one here.
            sum = (sum - rate * at.saturating_sub(last) as f64 / 1e6).max(0.0) + *tokens as f64;
            last = *at;
            worst = worst.max(sum);
        }
        worst
    }

    fn running_router(&mut self, index: usize) -> Option<&mut Router> {
        let now = self.now;
        self.routers[index].as_mut().filter(|router| router.paused_until <= now)
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let missing = self.home.as_ref().is_some_and(|home| {
            home.missing_members().any(|member| member == MemberKey(index as u32))
        });
        let epoch = self.epoch;
        let Some(router) = self.running_router(index) else {
            return;
        };
        let snapshot = router.slice.snapshot();
        let effects = router.slice.tick(clock(now, router.drift_ppm));
        if missing {
            self.send(Message::Snapshot(index, epoch, snapshot));
        }
        self.apply(index, effects);
    }

    fn deliver(&mut self, until: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > until {
                return;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = self.now.max(at);
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        let home_now = clock(self.now, self.home_drift_ppm);
        match message {
            Message::GrantRequest(index, request) => {
                let router = MemberKey(index as u32);
                let Some(home) = &mut self.home else {
                    return;
                };
                if let Ok(grant) = home.handle_request(router, &request, home_now) {
                    self.send(Message::Grant(index, grant));
                }
            }
            Message::Snapshot(index, epoch, counters) => {
                if let (true, Some(home)) = (epoch == self.epoch, &mut self.home) {
                    home.add_snapshot(MemberKey(index as u32), counters, home_now);
                }
            }
            Message::Grant(index, grant) => {
                let now = self.now;
                if let Some(router) = self.running_router(index) {
                    let effects = router.slice.handle_grant(&grant, clock(now, router.drift_ppm));
                    self.apply(index, effects);
                }
            }
            Message::Settle(index, ticket, used) => {
                let now = self.now;
                if let Some(router) = self.running_router(index) {
                    if let Some((reservation, position)) = router.running.remove(&ticket) {
                        router.slice.settle(reservation, used, clock(now, router.drift_ppm));
                        self.usage[position].1 = used;
                    }
                }
            }
        }
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::GrantRequest(request) => self.send(Message::GrantRequest(index, request)),
                Effect::Refused { reason, .. } => {
                    self.count.refused += 1;
                    self.refusals.push((self.now, reason));
                }
                Effect::Reserved { ticket, reservation } => {
                    self.count.admitted += 1;
                    self.admit(index, ticket, reservation);
                }
            }
        }
    }

    /// Runs a request for up to two seconds; it uses at least half of its reservation.
    fn admit(&mut self, index: usize, ticket: u64, reservation: Reservation) {
        let tokens = reservation.tokens();
        self.usage.push((self.now, tokens));
        let position = self.usage.len() - 1;
        let used = self.rng.random_range(tokens / 2..=tokens);
        let span = self.rng.random_range(1_000..2_000_000);
        if let Some(router) = &mut self.routers[index] {
            router.running.insert(ticket, (reservation, position));
        }
        self.next_id += 1;
        self.messages.insert((self.now + span, self.next_id), Message::Settle(index, ticket, used));
    }

    fn send(&mut self, message: Message) {
        self.count.messages += 1;
        if self.rng.random_range(0..1000) < self.faults.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.faults.duplicate);
        for _ in 0..copies {
            let delay = self.rng.random_range(500..=self.faults.delay.as_micros() as u64);
            self.next_id += 1;
            self.messages.insert((self.now + delay, self.next_id), message.clone());
        }
    }
}
