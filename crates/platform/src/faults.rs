//! Faults of the platform that a test or an operator of a stand-in can order.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after which servers close an idle connection, so that its port may be another's.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// One kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Every request is refused at once; nothing takes effect.
    Down,
    /// Every request waits before it is served.
    Slow {
        /// Extra time in milliseconds.
        delay_ms: u64,
    },
    /// Writes take effect and their answers are lost.
    LostAnswers {
        /// How many answers get lost; all when absent.
        #[serde(default)]
        count: Option<u32>,
    },
    /// Requests wait until the fault ends and take effect then, also after their caller gave up.
    Frozen,
    /// Connections open now never answer again; new ones work.
    Silent,
}

/// A fault with the span it lasts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// What goes wrong.
    #[serde(flatten)]
    pub fault: Fault,
    /// How long in milliseconds; until cleared when absent.
    #[serde(default)]
    pub span_ms: Option<u64>,
}

#[derive(Debug)]
struct Active {
    fault: Fault,
    ends: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    active: Vec<Active>,
    /// Connections by the time of their last request.
    seen: IndexMap<SocketAddr, Instant>,
    /// Connections that went silent, by the time after which their port counts as another's.
    silent: IndexMap<SocketAddr, Instant>,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
    changed: Notify,
}

impl Faults {
    /// Puts a fault in force; a fault of the same kind is replaced.
    pub fn order(&self, order: Order) {
        let mut state = self.state.lock();
        if order.fault == Fault::Silent {
            state.silence();
            return;
        }
        let kind = std::mem::discriminant(&order.fault);
        state.active.retain(|active| std::mem::discriminant(&active.fault) != kind);
        let ends = order.span_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        state.active.push(Active { fault: order.fault, ends });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends every fault. Connections that went silent stay silent.
    pub fn clear(&self) {
        self.state.lock().active.clear();
        self.changed.notify_waiters();
    }

    /// Notes a connection as open and tells whether it went silent.
    pub fn is_silent(&self, connection: Option<SocketAddr>) -> bool {
        let Some(connection) = connection else { return false };
        let mut state = self.state.lock();
        let now = Instant::now();
        state.seen.insert(connection, now);
        state.silent.get(&connection).is_some_and(|ends| *ends > now)
    }

    /// Whether every request is refused now.
    pub fn is_down(&self) -> bool {
        self.find(|fault| matches!(fault, Fault::Down).then_some(())).is_some()
    }

    /// Extra time each request takes now.
    pub fn delay(&self) -> Duration {
        let millis = self.find(|fault| match fault {
            Fault::Slow { delay_ms } => Some(*delay_ms),
            _ => None,
        });
        Duration::from_millis(millis.unwrap_or(0))
    }

    /// Waits until the store isn't frozen.
    pub async fn thawed(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(ends) = self.frozen_until() else { return };
            match ends {
                Some(ends) => {
                    let _ = tokio::time::timeout_at(ends, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Whether the answer of a write that just took effect is lost; counts it when it is.
    pub fn takes_answer(&self) -> bool {
        self.find(|fault| match fault {
            Fault::LostAnswers { count: None } => Some(true),
            Fault::LostAnswers { count: Some(0) } => Some(false),
            Fault::LostAnswers { count: Some(left) } => {
                *left -= 1;
                Some(true)
            }
            _ => None,
        })
        .unwrap_or(false)
    }

    /// `None` when not frozen; else the end, where one is set.
    fn frozen_until(&self) -> Option<Option<Instant>> {
        let mut state = self.state.lock();
        state.expire();
        state.active.iter().find(|active| active.fault == Fault::Frozen).map(|active| active.ends)
    }

    fn find<T>(&self, probe: impl FnMut(&mut Fault) -> Option<T>) -> Option<T> {
        let mut state = self.state.lock();
        state.expire();
        state.active.iter_mut().map(|active| &mut active.fault).find_map(probe)
    }
}

impl State {
    fn silence(&mut self) {
        let now = Instant::now();
        self.seen.retain(|_, used| now.duration_since(*used) < IDLE_LIMIT);
        self.silent.retain(|_, ends| *ends > now);
        let ends = now + 2 * IDLE_LIMIT;
        self.silent.extend(self.seen.keys().map(|connection| (*connection, ends)));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.active.retain(|active| active.ends.is_none_or(|ends| ends > now));
    }
}
