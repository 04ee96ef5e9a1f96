//! Routers and the home of one team, in virtual time over a network with faults.

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

/// Network faults, in parts of a thousand, and the longest delay.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: u32,
    pub double: u32,
    pub delay: Duration,
}

#[derive(Clone, Debug)]
enum Message {
    GrantRequest(usize, GrantRequest),
    Grant(usize, Grant),
    Snapshot(usize, u64, Counters),
    Settle(usize, u64, u64),
}

pub struct Router {
    pub slice: Slice,
    clock: i64,
    paused: u64,
    /// Reservations with their place in `net`.
    running: BTreeMap<u64, (Reservation, usize)>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    pub asked: u64,
    pub admitted: u64,
    pub refused: u64,
    pub messages: u64,
}

pub struct World {
    pub now: u64,
    pub home: Option<Bucket>,
    pub routers: Vec<Option<Router>>,
    pub count: Count,
    /// Tokens that requests used, by the time at which they reserved; all that was reserved until
    /// they are settled.
    pub net: Vec<(u64, u64)>,
    pub refusals: Vec<(u64, Reason)>,
    limits: Limits,
    epoch: u64,
    home_clock: i64,
    faults: Faults,
    rng: ChaCha8Rng,
    messages: BTreeMap<(u64, u64), Message>,
    next: u64,
}

/// A clock that drifts by `ppm` from true time.
fn clock(now: u64, ppm: i64) -> Tick {
    Tick((now as i64 + now as i64 * ppm / 1_000_000) as u64)
}

impl World {
    pub fn new(settings: SliceSettings, limits: Limits, clocks: &[i64], faults: Faults) -> Self {
        let now = 1_000_000;
        let router = |ppm: &i64| {
            let slice = Slice::new(settings, 1, limits, clock(now, *ppm));
            Some(Router { slice, clock: *ppm, paused: 0, running: BTreeMap::new() })
        };
        World {
            now,
            home: Some(Bucket::new_full(1, limits, clock(now, clocks[0]))),
            routers: clocks.iter().map(router).collect(),
            count: Count::default(),
            net: Vec::new(),
            refusals: Vec::new(),
            limits,
            epoch: 1,
            home_clock: clocks[0],
            faults,
            rng: ChaCha8Rng::seed_from_u64(7),
            messages: BTreeMap::new(),
            next: 0,
        }
    }

    /// Runs for a span; routers tick every 10 ms.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while self.now < end {
            let tick = (self.now / 10_000 + 1) * 10_000;
            let to = tick.min(end);
            self.deliver(to);
            self.now = to;
            if to == tick {
                (0..self.routers.len()).for_each(|router| self.tick(router));
            }
        }
    }

    pub fn request(&mut self, index: usize, tokens: u64, deadline: Duration) {
        let now = self.now;
        self.next += 1;
        let ticket = self.next;
        let Some(router) = self.awake(index) else {
            return;
        };
        let local = clock(now, router.clock);
        let effects = router.slice.reserve(ticket, tokens, local + deadline, local);
        self.count.asked += 1;
        self.apply(index, effects);
    }

    pub fn kill(&mut self, index: usize) {
        self.routers[index] = None;
        let now = clock(self.now, self.home_clock);
        if let Some(home) = &mut self.home {
            home.remove_router(MemberKey(index as u32), now);
        }
    }

    pub fn pause(&mut self, index: usize, span: Duration) {
        let until = self.now + span.as_micros() as u64;
        if let Some(router) = &mut self.routers[index] {
            router.paused = until;
        }
    }

    /// Starts a home on another clock, after all routers acknowledged.
    pub fn move_home(&mut self, ppm: i64, handed: bool) {
        self.epoch += 1;
        let old_now = clock(self.now, self.home_clock);
        let old = self.home.take().map(|mut home| home.hand_over(old_now));
        let mut members = Vec::new();
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(router) = router {
                router.slice.switch_home(self.epoch, clock(self.now, router.clock));
                members.push(MemberKey(index as u32));
            }
        }
        self.home_clock = ppm;
        let now = clock(self.now, ppm);
        let mut home = Bucket::new_successor(self.epoch, self.limits, &members, now);
        if let (true, Some(handover)) = (handed, old) {
            home.accept_handover(handover);
        }
        self.home = Some(home);
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let now = clock(self.now, self.home_clock);
        if let Some(home) = &mut self.home {
            home.set_limits(limits, now);
        }
        for router in self.routers.iter_mut().flatten() {
            router.slice.set_limits(limits, clock(self.now, router.clock));
        }
    }

    /// The window in which most was admitted beyond `rate × span`, in tokens.
    pub fn worst_excess(&self, rate: f64) -> f64 {
        let mut worst = 0.0_f64;
        let mut sum = 0.0_f64;
        let mut last = self.now;
        for (at, tokens) in &self.net {
            // Kadane's scan: either the window goes on, or it starts anew here.
            sum = (sum - rate * at.saturating_sub(last) as f64 / 1e6).max(0.0) + *tokens as f64;
            last = *at;
            worst = worst.max(sum);
        }
        worst
    }

    fn awake(&mut self, index: usize) -> Option<&mut Router> {
        let now = self.now;
        self.routers[index].as_mut().filter(|router| router.paused <= now)
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let missing = self
            .home
            .as_ref()
            .is_some_and(|home| home.missing().any(|member| member == MemberKey(index as u32)));
        let epoch = self.epoch;
        let Some(router) = self.awake(index) else {
            return;
        };
        let snapshot = router.slice.snapshot();
        let effects = router.slice.tick(clock(now, router.clock));
        if missing {
            self.send(Message::Snapshot(index, epoch, snapshot));
        }
        self.apply(index, effects);
    }

    fn deliver(&mut self, to: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > to {
                return;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = self.now.max(at);
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        let home_now = clock(self.now, self.home_clock);
        match message {
            Message::GrantRequest(index, ask) => {
                let router = MemberKey(index as u32);
                let Some(home) = &mut self.home else {
                    return;
                };
                if let Ok(grant) = home.handle_request(router, &ask, home_now) {
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
                if let Some(router) = self.awake(index) {
                    let effects = router.slice.handle_grant(&grant, clock(now, router.clock));
                    self.apply(index, effects);
                }
            }
            Message::Settle(index, ticket, used) => {
                let now = self.now;
                if let Some(router) = self.awake(index) {
                    if let Some((reservation, place)) = router.running.remove(&ticket) {
                        router.slice.settle(reservation, used, clock(now, router.clock));
                        self.net[place].1 = used;
                    }
                }
            }
        }
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::GrantRequest(ask) => self.send(Message::GrantRequest(index, ask)),
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

    /// A request runs for up to two seconds and uses a random part of its reservation.
    fn admit(&mut self, index: usize, ticket: u64, reservation: Reservation) {
        let tokens = reservation.tokens();
        self.net.push((self.now, tokens));
        let place = self.net.len() - 1;
        let used = self.rng.random_range(tokens / 2..=tokens);
        let span = self.rng.random_range(1_000..2_000_000);
        if let Some(router) = &mut self.routers[index] {
            router.running.insert(ticket, (reservation, place));
        }
        self.next += 1;
        self.messages.insert((self.now + span, self.next), Message::Settle(index, ticket, used));
    }

    fn send(&mut self, message: Message) {
        self.count.messages += 1;
        if self.rng.random_range(0..1000) < self.faults.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.faults.double);
        for _ in 0..copies {
            let delay = self.rng.random_range(500..=self.faults.delay.as_micros() as u64);
            self.next += 1;
            self.messages.insert((self.now + delay, self.next), message.clone());
        }
    }
}
