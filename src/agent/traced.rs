//! Records a daemon's reads and writes of shared rows, for the checkers of a run's history.
//!
//! A write is recorded before it is sent and again when its outcome is known. If the process is
//! killed in between, the write still counts, as an operation with an unknown outcome.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_trait::async_trait;
use corianderyoke_history::linear::table::Cell;
use corianderyoke_history::linear::table::Expect;
use corianderyoke_history::linear::table::PutOutcome;
use corianderyoke_history::linear::table::TableOp;
use corianderyoke_history::Event;
use corianderyoke_history::Recorder;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Instance;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Result;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;

/// Tables to record: those that only daemons write.
const TRACED_TABLES: [&str; 4] = ["claims", "intents", "members", "view"];

/// A platform whose accesses to shared rows are recorded.
pub struct Traced {
    inner: Arc<dyn Platform>,
    history: Recorder,
    next_number: AtomicU64,
}

impl Traced {
    /// Wraps `inner` to record in `history`; returns `inner` itself if recording is off.
    pub fn wrap(inner: Arc<dyn Platform>, history: &Recorder) -> Arc<dyn Platform> {
        if !history.is_on() {
            return inner;
        }
        Arc::new(Traced { inner, history: history.clone(), next_number: AtomicU64::new(0) })
    }

    fn record(&self, began_us: u64, (table, key): (&str, &str), op: TableOp) {
        if TRACED_TABLES.contains(&table) {
            self.history.record(|| event(began_us, table, key, op));
        }
    }

    /// Records the start of a transaction's writes. Returns their operation numbers.
    fn record_start(&self, began_us: u64, transaction: &Transaction) -> Vec<u64> {
        let writes =
            transaction.writes.iter().filter(|write| TRACED_TABLES.contains(&row_of(write).0));
        let begun = writes.map(|write| {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let (table, key) = row_of(write);
            let op = put(transaction, write, PutOutcome::Unknown);
            let operation = Box::new(event(began_us, table, key, op));
            self.history.record(|| Event::Begun { scope: "table".to_owned(), number, operation });
            number
        });
        begun.collect()
    }

    fn record_end(&self, began_us: u64, transaction: &Transaction, result: &Result<Commit>) {
        let outcome = match result {
            Ok(Commit::Done { version }) => PutOutcome::Done(*version),
            Ok(Commit::Refused { condition, .. }) => {
                return self.record_conflict(began_us, transaction, *condition);
            }
            Err(Error::Unknown(_)) => PutOutcome::Unknown,
            Err(Error::Unavailable(_) | Error::Invalid(_)) => return,
        };
        for write in &transaction.writes {
            self.record(began_us, row_of(write), put(transaction, write, outcome));
        }
    }

    fn record_conflict(&self, began_us: u64, transaction: &Transaction, condition: usize) {
        let Some(condition) = transaction.conditions.get(condition) else {
            return;
        };
        let (row, expect) = expectation(condition);
        let op = TableOp::Put { expect, value: None, outcome: PutOutcome::Refused };
        self.record(began_us, row, op);
    }
}

#[async_trait]
impl Platform for Traced {
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>> {
        let began_us = Recorder::now_us();
        let row = self.inner.get(table, key).await?;
        let found =
            row.as_ref().map(|row| Cell { version: row.version, value: digest(&row.value) });
        self.record(began_us, (table, key), TableOp::Get { found });
        Ok(row)
    }

    async fn scan(&self, table: &str, from: &str, to: &str) -> Result<Vec<Row>> {
        self.inner.scan(table, from, to).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit> {
        let began_us = Recorder::now_us();
        let begun = self.record_start(began_us, transaction);
        let result = self.inner.transact(transaction).await;
        self.record_end(began_us, transaction, &result);
        for number in begun {
            self.history.record(|| Event::Ended { scope: "table".to_owned(), number });
        }
        result
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>> {
        self.inner.object(name).await
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> Result<()> {
        self.inner.put_object(name, body).await
    }

    async fn instances(&self) -> Result<Vec<Instance>> {
        self.inner.instances().await
    }
}

fn event(began_us: u64, table: &str, key: &str, op: TableOp) -> Event {
    Event::Table { began_us, table: table.to_owned(), key: key.to_owned(), op }
}

fn row_of(write: &Write) -> (&str, &str) {
    match write {
        Write::Put { table, key, .. } | Write::Delete { table, key } => (table, key),
    }
}

fn expectation(condition: &Condition) -> ((&str, &str), Expect) {
    match condition {
        Condition::Absent { table, key } => ((table, key), Expect::Absent),
        Condition::Version { table, key, version } => ((table, key), Expect::Version(*version)),
    }
}

fn put(transaction: &Transaction, write: &Write, outcome: PutOutcome) -> TableOp {
    let row = row_of(write);
    let mut conditions = transaction.conditions.iter().map(expectation);
    let expect = conditions.find(|(found, _)| *found == row);
    let value = match write {
        Write::Put { value, .. } => Some(digest(value)),
        Write::Delete { .. } => None,
    };
    TableOp::Put { expect: expect.map_or(Expect::Any, |(_, expect)| expect), value, outcome }
}

/// A short digest of a value, which the checkers compare in place of the value.
pub fn digest(value: &str) -> String {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}
