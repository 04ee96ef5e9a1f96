//! Reads and writes the rows of table `claims`.

use corianderyoke_coord::idempotency::Claim;
use corianderyoke_coord::idempotency::ClaimKey;
use corianderyoke_coord::idempotency::Effect;
use corianderyoke_coord::idempotency::Event as LedgerEvent;
use corianderyoke_coord::idempotency::StoredClaim;
use corianderyoke_platform::Commit;
use corianderyoke_platform::Condition;
use corianderyoke_platform::Error as StoreError;
use corianderyoke_platform::Row;
use corianderyoke_platform::Transaction;
use corianderyoke_platform::Write;

use crate::router::claims::Operation;
use crate::router::Router;

/// Name of the table that stores the claims.
pub(super) const CLAIMS: &str = "claims";

/// Starts recording the operation of `effect` on a claim's row, if a history is written.
pub(super) fn start_operation(router: &Router, effect: &Effect) -> Option<Operation> {
    let call = match effect {
        Effect::Insert { call, .. } | Effect::Replace { call, .. } => call,
        Effect::Remove { call, .. } | Effect::ReadBack { call, .. } => call,
        Effect::Answer { .. } | Effect::Prepare { .. } | Effect::Send { .. } => return None,
    };
    // Not taken from the running calls, since a call continues after its caller was answered.
    let (attempt, digest) = router.keyed_calls.traced.lock().get(call).cloned()?;
    Operation::start(router, effect, &attempt, &digest)
}

/// Key of a claim's row: the team and the idempotency key.
pub fn row_key(key: &ClaimKey) -> String {
    format!("{}/{}", key.team, key.key)
}

pub(super) fn at_version(key: &str, version: u64) -> Condition {
    Condition::Version { table: CLAIMS.to_owned(), key: key.to_owned(), version }
}

pub(super) fn put_claim(key: &str, claim: &Claim) -> Write {
    // Serialization can't fail: a claim consists of strings and numbers.
    let value = serde_json::to_string(claim).unwrap_or_default();
    Write::Put { table: CLAIMS.to_owned(), key: key.to_owned(), value }
}

pub(super) async fn write_claim(
    router: &Router,
    condition: Condition,
    write: Write,
) -> LedgerEvent {
    let transaction = Transaction { conditions: vec![condition], writes: vec![write] };
    match router.platform.transact(&transaction).await {
        Ok(Commit::Done { version }) => LedgerEvent::Written { version },
        Ok(Commit::Refused { found, .. }) => {
            LedgerEvent::Refused { found: found.and_then(parse_claim) }
        }
        Err(StoreError::Unknown(_)) => LedgerEvent::NoAnswer,
        Err(StoreError::Unavailable(_) | StoreError::Invalid(_)) => LedgerEvent::Unavailable,
    }
}

pub(super) async fn read_claim(router: &Router, key: &str) -> LedgerEvent {
    match router.platform.get(CLAIMS, key).await {
        Ok(row) => LedgerEvent::Read { found: row.and_then(parse_claim) },
        Err(_) => LedgerEvent::Unavailable,
    }
}

fn parse_claim(row: Row) -> Option<StoredClaim> {
    let claim = serde_json::from_str(&row.value).ok()?;
    Some(StoredClaim { claim, version: row.version })
}

/// Prefix of a recorded body that isn't UTF-8 text and is stored in hexadecimal.
const HEX_PREFIX: &str = "\u{0}hex:";

pub(super) fn encode_body(body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if !text.starts_with(HEX_PREFIX) => text.to_owned(),
        _ => {
            let hex: String = body.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("{HEX_PREFIX}{hex}")
        }
    }
}

pub(super) fn decode_body(stored: &str) -> Vec<u8> {
    let Some(hex) = stored.strip_prefix(HEX_PREFIX) else {
        return stored.as_bytes().to_vec();
    };
    let pairs = hex.as_bytes().chunks(2).filter_map(|pair| std::str::from_utf8(pair).ok());
    pairs.filter_map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
