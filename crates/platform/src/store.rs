//! The tables with what a real store puts around them: rates, faults, counters, a lagging list.

mod rate;

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::faults::Faults;
use crate::memory::Tables;
use crate::store::rate::Rate;
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
    /// Reads a second; a scan is one read.
    pub reads_per_second: f64,
    /// Rows written a second.
    pub writes_per_second: f64,
    /// Milliseconds a request waits for its rate before it is refused.
    pub max_wait_ms: u64,
    /// Milliseconds by which the instance list is late.
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

/// What a store has done since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Reads served.
    pub reads: u64,
    /// Rows written.
    pub writes: u64,
    /// Requests refused because of their rate or because the store was down.
    pub refused: u64,
}

#[derive(Debug)]
struct Inner {
    tables: Tables,
    counters: Counters,
    reads: Rate,
    writes: Rate,
    shown: Vec<Instance>,
    pending: Vec<(Instant, Vec<Instance>)>,
}

/// A store in memory that behaves like the platform's.
///
/// `connection` in its methods is the address of the caller's connection, where there is one; it
/// matters to [`Fault::Silent`](crate::faults::Fault::Silent) only.
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
    /// An empty store.
    pub fn new(settings: Settings) -> Self {
        let inner = Inner {
            tables: Tables::default(),
            counters: Counters::default(),
            reads: Rate::new(settings.reads_per_second),
            writes: Rate::new(settings.writes_per_second),
            shown: Vec::new(),
            pending: Vec::new(),
        };
        Store { settings, faults: Faults::default(), inner: Mutex::new(inner) }
    }

    /// The faults in force.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What was done so far.
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

    /// The instance list as it was some time ago.
    pub async fn instances(&self, connection: Option<SocketAddr>) -> Result<Vec<Instance>> {
        self.read(connection, |inner| {
            inner.show_instances();
            inner.shown.clone()
        })
        .await
    }

    /// Carries out a transaction; see [`Platform::transact`](crate::Platform::transact).
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

    /// Sets the true instance list, which readers see after the lag.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let seen = Instant::now() + Duration::from_millis(self.settings.instance_lag_ms);
        let mut inner = self.inner.lock();
        inner.tables.set_instances(instances.clone());
        inner.pending.push((seen, instances));
    }

    /// The true instance list.
    pub fn true_instances(&self) -> Vec<Instance> {
        self.inner.lock().tables.instances().to_vec()
    }

    async fn read<T>(
        &self,
        connection: Option<SocketAddr>,
        serve: impl FnOnce(&mut Inner) -> T,
    ) -> Result<T> {
        self.admit(connection, |inner| &mut inner.reads, 1).await?;
        let mut inner = self.inner.lock();
        inner.counters.reads += 1;
        Ok(serve(&mut inner))
    }

    async fn write<T>(
        &self,
        connection: Option<SocketAddr>,
        rows: usize,
        serve: impl FnOnce(&mut Inner) -> T,
    ) -> Result<T> {
        self.admit(connection, |inner| &mut inner.writes, rows).await?;
        let outcome = {
            let mut inner = self.inner.lock();
            inner.counters.writes += rows as u64;
            serve(&mut inner)
        };
        if self.faults.takes_answer() {
            return Err(Error::Unknown("the answer was lost".into()));
        }
        Ok(outcome)
    }

    /// Holds a request up as the faults and the rates want it, or refuses it.
    async fn admit(
        &self,
        connection: Option<SocketAddr>,
        rate: impl Fn(&mut Inner) -> &mut Rate,
        cost: usize,
    ) -> Result<()> {
        if self.faults.is_silent(connection) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.faults.delay()).await;
        self.faults.thawed().await;
        if self.faults.is_down() {
            return Err(self.refuse("the store is down"));
        }
        let limit = Duration::from_millis(self.settings.max_wait_ms);
        let wait = rate(&mut self.inner.lock()).take(cost, limit);
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
    /// Moves every list whose lag has passed into view.
    fn show_instances(&mut self) {
        let now = Instant::now();
        while self.pending.first().is_some_and(|(seen, _)| *seen <= now) {
            self.shown = self.pending.remove(0).1;
        }
    }
}
