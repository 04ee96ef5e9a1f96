//! Tests of the in-memory tables against a reference model, and of timeouts and faults of the
//! in-process platform.

use std::collections::BTreeMap;
use std::time::Duration;

use corianderyoke_platform::faults::Fault;
use corianderyoke_platform::faults::Order;
use corianderyoke_platform::memory::MemoryPlatform;
use corianderyoke_platform::memory::Tables;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error;
use corianderyoke_platform::Platform;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

const TABLE: &str = "t";

fn key() -> impl Strategy<Value = String> {
    "[a-d]"
}

fn write() -> impl Strategy<Value = Write> {
    let table = TABLE.to_owned();
    prop_oneof![
        (key(), "[x-z]").prop_map(|(key, value)| Write::Put { table: TABLE.into(), key, value }),
        key().prop_map(move |key| Write::Delete { table: table.clone(), key }),
    ]
}

fn condition() -> impl Strategy<Value = Condition> {
    prop_oneof![
        key().prop_map(|key| Condition::Absent { table: TABLE.into(), key }),
        (key(), 1..20_u64).prop_map(|(key, version)| {
            Condition::Version { table: TABLE.into(), key, version }
        }),
    ]
}

fn transaction() -> impl Strategy<Value = Transaction> {
    (vec(condition(), 0..2), vec(write(), 0..4))
        .prop_map(|(conditions, writes)| Transaction { conditions, writes })
}

/// Reference model: value and version by key.
type Model = BTreeMap<String, (String, u64)>;

fn holds(model: &Model, condition: &Condition) -> bool {
    match condition {
        Condition::Absent { key, .. } => !model.contains_key(key),
        Condition::Version { key, version, .. } => {
            model.get(key).is_some_and(|(_, found)| found == version)
        }
    }
}

fn apply_writes(model: &mut Model, writes: &[Write], version: u64) {
    for write in writes {
        match write {
            Write::Put { key, value, .. } => {
                model.insert(key.clone(), (value.clone(), version));
            }
            Write::Delete { key, .. } => {
                model.remove(key);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn tables_match_reference_model(transactions in vec(transaction(), 0..20), range in any::<(u8, u8)>()) {
        let mut tables = Tables::default();
        let mut model = Model::new();
        let mut last_version = 0;
        for transaction in &transactions {
            let failed =
                transaction.conditions.iter().position(|condition| !holds(&model, condition));
            match tables.transact(transaction) {
                Commit::Done { version } => {
                    prop_assert_eq!(failed, None);
                    prop_assert!(version > last_version);
                    last_version = version;
                    apply_writes(&mut model, &transaction.writes, version);
                }
                Commit::Refused { condition, .. } => prop_assert_eq!(failed, Some(condition)),
            }
        }
        let (from, to) = (range.0 % 6, range.1 % 6);
        let bound = |at: u8| if at == 0 { String::new() } else { char::from(b'`' + at).to_string() };
        let (from, to) = (bound(from), bound(to));
        let rows = tables.scan(TABLE, &from, &to);
        let found: Vec<_> =
            rows.iter().map(|row| (&row.key, &row.value, row.version)).collect();
        let expected: Vec<_> = model
            .iter()
            .filter(|(key, _)| **key >= from && (to.is_empty() || **key < to))
            .map(|(key, (value, version))| (key, value, *version))
            .collect();
        prop_assert_eq!(found, expected);
    }
}

fn put(value: &str) -> Transaction {
    let write = Write::Put { table: TABLE.into(), key: "a".into(), value: value.into() };
    Transaction { writes: vec![write], ..Transaction::default() }
}

#[tokio::test]
async fn a_write_takes_effect_after_its_caller_timed_out() {
    let platform = MemoryPlatform::default().with_timeout(Duration::from_millis(20));
    let faults = platform.store().faults();
    faults.order(Order { fault: Fault::Frozen, span_ms: None });
    assert!(matches!(platform.transact(&put("late")).await, Err(Error::Unknown(_))));
    assert!(matches!(platform.get(TABLE, "a").await, Err(Error::Unavailable(_))));
    faults.clear();
    while platform.get(TABLE, "a").await.unwrap().is_none() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_fault_ends_after_its_duration() {
    let platform = MemoryPlatform::default();
    let faults = platform.store().faults();
    faults.order(Order { fault: Fault::Down, span_ms: Some(10) });
    assert!(matches!(platform.transact(&put("no")).await, Err(Error::Unavailable(_))));
    while platform.get(TABLE, "a").await.is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(platform.get(TABLE, "a").await.unwrap(), None);
}
