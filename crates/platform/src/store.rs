//! A store over the in-memory tables, with rate limits, faults, counters and a delayed instance
//! list.

mod rate;

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::faults::Faults;
use crate::memory::Tables;
use crate::store::rate::RateLimiter;
use crate::Commit;
use crate::Error;
use crate::Instance;
use crate::Result;
use crate::Row;
use crate::Transaction;

/// Limits of a store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum reads per second; a scan counts as one read.
    pub reads_per_second: f64,
    /// Maximum rows written per second.
    pub writes_per_second: f64,
    /// Maximum time that the rate limit delays a request before it is refused, in milliseconds.
    pub max_wait_ms: u64,
    /// Delay of the instance list behind the actual state, in milliseconds.
    pub instance_lag_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            reads_per_second: 2000.0,
            writes_per_second: 400.0,
            max_wait_ms: 1000,
            instance_lag_ms: 2000,
        }
    }
}

/// Totals of a store since it was created.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Reads served.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Requests refused because of the rate limit or because the store was down.
    pub refused: u64,
}

#[derive(Debug)]
struct Inner {
    tables: Tables,
    counters: Counters,
    reads: RateLimiter,
    writes: RateLimiter,
    visible_instances: Vec<Instance>,
    /// Later instance lists, by the time from which readers see them.
    pending_instances: Vec<(Instant, Vec<Instance>)>,
}

/// An in-memory store that behaves like the platform's.
///
/// `connection` in its methods is the address of the caller's connection, if it has one. Only
/// [`Fault::Silent`](crate::faults::Fault::Silent) uses it.
#[derive(Debug)]
pub struct Store {
    settings: Settings,
    faults: Faults,
    inner: Mutex<Inner>,
}

impl Default for Store {
    fn default() -> Self {
        Store::new(Settings::default())
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new(settings: Settings) -> Self {
        let inner = Inner {
            tables: Tables::default(),
            counters: Counters::default(),
            reads: RateLimiter::new(settings.reads_per_second),
            writes: RateLimiter::new(settings.writes_per_second),
            visible_instances: Vec::new(),
            pending_instances: Vec::new(),
        };
        Store { settings, faults: Faults::default(), inner: Mutex::new(inner) }
    }

    /// The faults in force.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Totals since the store was created.
    pub fn counters(&self) -> Counters {
        self.inner.lock().counters
    }

    /// One row; see [`Platform::get`](crate::Platform::get).
    pub async fn get(
        &self,
        table: &str,
        key: &str,
        connection: Option<SocketAddr>,
    ) -> Result<Option<Row>> {
        self.read(connection, |inner| inner.tables.get(table, key)).await
    }

    /// A range of rows; see [`Platform::scan`](crate::Platform::scan).
    pub async fn scan(
        &self,
        table: &str,
        from: &str,
        to: &str,
        connection: Option<SocketAddr>,
    ) -> Result<Vec<Row>> {
        self.read(connection, |inner| inner.tables.scan(table, from, to)).await
    }

    /// An object; see [`Platform::object`](crate::Platform::object).
    pub async fn object(
        &self,
        name: &str,
        connection: Option<SocketAddr>,
    ) -> Result<Option<Vec<u8>>> {
        self.read(connection, |inner| inner.tables.object(name)).await
    }

    /// The instance list, delayed by [`Settings::instance_lag_ms`].
    pub async fn instances(&self, connection: Option<SocketAddr>) -> Result<Vec<Instance>> {
        self.read(connection, |inner| {
            inner.update_visible_instances();
            inner.visible_instances.clone()
        })
        .await
    }

    /// Executes a transaction; see [`Platform::transact`](crate::Platform::transact).
    pub async fn transact(
        &self,
        transaction: &Transaction,
        connection: Option<SocketAddr>,
    ) -> Result<Commit> {
        let rows = transaction.writes.len().max(1);
        self.write(connection, rows, |inner| inner.tables.transact(transaction)).await
    }

    /// Stores an object.
    pub async fn put_object(
        &self,
        name: &str,
        body: Vec<u8>,
        connection: Option<SocketAddr>,
    ) -> Result<()> {
        self.write(connection, 1, |inner| inner.tables.put_object(name, body)).await
    }

    /// Sets the actual instance list, which readers see after [`Settings::instance_lag_ms`].
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let visible_at = Instant::now() + Duration::from_millis(self.settings.instance_lag_ms);
        let mut inner = self.inner.lock();
        inner.tables.set_instances(instances.clone());
        inner.pending_instances.push((visible_at, instances));
    }

    /// The actual instance list, without delay.
    pub fn true_instances(&self) -> Vec<Instance> {
        self.inner.lock().tables.instances().to_vec()
    }

    async fn read<T>(
        &self,
        connection: Option<SocketAddr>,
        operation: impl FnOnce(&mut Inner) -> T,
    ) -> Result<T> {
        self.admit(connection, |inner| &mut inner.reads, 1).await?;
        let mut inner = self.inner.lock();
        inner.counters.reads += 1;
        Ok(operation(&mut inner))
    }

    async fn write<T>(
        &self,
        connection: Option<SocketAddr>,
        rows: usize,
        operation: impl FnOnce(&mut Inner) -> T,
    ) -> Result<T> {
        self.admit(connection, |inner| &mut inner.writes, rows).await?;
        let outcome = {
            let mut inner = self.inner.lock();
            inner.counters.writes += rows as u64;
            operation(&mut inner)
        };
        if self.faults.drops_response() {
            return Err(Error::Unknown("the answer was lost".into()));
        }
        Ok(outcome)
    }

    /// Delays a request as the active faults and the rate limit require, or refuses it.
    async fn admit(
        &self,
        connection: Option<SocketAddr>,
        limiter: impl Fn(&mut Inner) -> &mut RateLimiter,
        cost: usize,
    ) -> Result<()> {
        if self.faults.is_silent(connection) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.faults.delay()).await;
        self.faults.wait_until_unfrozen().await;
        if self.faults.is_down() {
            return Err(self.refuse("the store is down"));
        }
        let max_wait = Duration::from_millis(self.settings.max_wait_ms);
        let wait = limiter(&mut self.inner.lock()).reserve(cost, max_wait);
        match wait {
            Some(wait) if wait.is_zero() => Ok(()),
            Some(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            None => Err(self.refuse("over the store's rate, send fewer requests")),
        }
    }

    fn refuse(&self, text: &str) -> Error {
        self.inner.lock().counters.refused += 1;
        Error::Unavailable(text.to_owned())
    }
}

impl Inner {
    /// Makes the latest list visible whose delay has passed.
    fn update_visible_instances(&mut self) {
        let now = Instant::now();
        while self.pending_instances.first().is_some_and(|(visible_at, _)| *visible_at <= now) {
            self.visible_instances = self.pending_instances.remove(0).1;
        }
    }
}
