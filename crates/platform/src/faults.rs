//! Faults that a test or an operator of a stand-in can inject into the platform.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after which servers close an idle connection, so that its port may be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// One kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Every request is refused at once; nothing takes effect.
    Down,
    /// Every request is delayed before it is served.
    Slow {
        /// Additional delay in milliseconds.
        delay_ms: u64,
    },
    /// Writes take effect, but their responses are lost.
    LostAnswers {
        /// Number of responses to lose; all when absent.
        #[serde(default)]
        count: Option<u32>,
    },
    /// Requests wait until the fault ends and then take effect, even if their caller timed out.
    Frozen,
    /// Connections that are open now never respond again; new ones work.
    Silent,
}

/// Request to inject a fault for a limited time or until it is cleared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fault to inject.
    #[serde(flatten)]
    pub fault: Fault,
    /// Duration in milliseconds; until cleared when absent.
    #[serde(default)]
    pub span_ms: Option<u64>,
}

#[derive(Debug)]
struct Active {
    fault: Fault,
    until: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    active: Vec<Active>,
    /// Time of the last request of each connection.
    last_used: IndexMap<SocketAddr, Instant>,
    /// Silenced connections, with the time after which their port may belong to another connection.
    silent: IndexMap<SocketAddr, Instant>,
}

/// The active faults.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
    changed: Notify,
}

impl Faults {
    /// Injects a fault; replaces an active fault of the same kind.
    pub fn order(&self, order: Order) {
        let mut state = self.state.lock();
        if order.fault == Fault::Silent {
            state.silence_connections();
            return;
        }
        let kind = std::mem::discriminant(&order.fault);
        state.active.retain(|active| std::mem::discriminant(&active.fault) != kind);
        let until = order.span_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        state.active.push(Active { fault: order.fault, until });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends all faults. Silenced connections remain silent.
    pub fn clear(&self) {
        self.state.lock().active.clear();
        self.changed.notify_waiters();
    }

    /// Records a request on a connection and returns whether the connection is silenced.
    pub fn is_silent(&self, connection: Option<SocketAddr>) -> bool {
        let Some(connection) = connection else { return false };
        let mut state = self.state.lock();
        let now = Instant::now();
        state.last_used.insert(connection, now);
        state.silent.get(&connection).is_some_and(|until| *until > now)
    }

    /// Whether requests are refused now.
    pub fn is_down(&self) -> bool {
        self.find_active(|fault| matches!(fault, Fault::Down).then_some(())).is_some()
    }

    /// Additional delay of each request now.
    pub fn delay(&self) -> Duration {
        let millis = self.find_active(|fault| match fault {
            Fault::Slow { delay_ms } => Some(*delay_ms),
            _ => None,
        });
        Duration::from_millis(millis.unwrap_or(0))
    }

    /// Waits until the store isn't frozen.
    pub async fn wait_until_unfrozen(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(until) = self.frozen_until() else { return };
            match until {
                Some(until) => {
                    let _ = tokio::time::timeout_at(until, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Whether to lose the response to a write that just took effect; counts the lost responses.
    pub fn drops_response(&self) -> bool {
        self.find_active(|fault| match fault {
            Fault::LostAnswers { count: None } => Some(true),
            Fault::LostAnswers { count: Some(0) } => Some(false),
            Fault::LostAnswers { count: Some(remaining) } => {
                *remaining -= 1;
                Some(true)
            }
            _ => None,
        })
        .unwrap_or(false)
    }

    /// `None` when not frozen, otherwise the end of the fault, if it has one.
    fn frozen_until(&self) -> Option<Option<Instant>> {
        let mut state = self.state.lock();
        state.expire();
        state.active.iter().find(|active| active.fault == Fault::Frozen).map(|active| active.until)
    }

    fn find_active<T>(&self, select: impl FnMut(&mut Fault) -> Option<T>) -> Option<T> {
        let mut state = self.state.lock();
        state.expire();
        state.active.iter_mut().map(|active| &mut active.fault).find_map(select)
    }
}

impl State {
    fn silence_connections(&mut self) {
        let now = Instant::now();
        self.last_used.retain(|_, last| now.duration_since(*last) < IDLE_TIMEOUT);
        self.silent.retain(|_, until| *until > now);
        let until = now + 2 * IDLE_TIMEOUT;
        self.silent.extend(self.last_used.keys().map(|connection| (*connection, until)));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.active.retain(|active| active.until.is_none_or(|until| until > now));
    }
}
