//! Commands that change the configuration.

use corianderyoke_coord::register::check;
use corianderyoke_coord::register::diff;
use corianderyoke_coord::register::document::Document;
use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::ApiKey;
use corianderyoke_coord::register::Change;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Entry;
use corianderyoke_coord::register::Kind;
use corianderyoke_coord::register::Revision;
use corianderyoke_platform::Platform;
use rand::RngCore;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use super::commit::commit;
use super::commit::raced_error;
use super::queries;
use super::AuditRecord;
use super::Error;
use super::Result;
use super::Snapshot;
use crate::util::utc;

/// Attempts at a command on one entry; a retry follows when another change was committed first.
const ATTEMPT_LIMIT: usize = 8;
/// Random bytes in a key's secret.
const SECRET_BYTES: usize = 32;
/// Random bytes in attempt ids and generated key names.
const ID_BYTES: usize = 8;

/// Who makes a change and by which command, for the audit record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Author {
    /// The operator's name.
    pub operator: String,
    /// The command, as shown in the audit trail.
    pub action: String,
}

/// A committed change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Applied {
    /// Revision that contains the change.
    pub revision: Revision,
    /// Changed entries; empty if the configuration was already as requested.
    pub changes: Vec<Change>,
}

/// A newly issued key.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Issued {
    /// Name of the key.
    pub key: String,
    /// The secret in plain text; only its digest is stored.
    pub secret: String,
    /// Revision that added the key.
    pub revision: Revision,
}

/// Applies a document to the configuration.
///
/// Where `base` is given, fails with [`Error::Raced`] unless `base` is still the newest revision.
pub async fn apply(
    platform: &dyn Platform,
    document: &Document,
    base: Option<Revision>,
    author: &Author,
) -> Result<Applied> {
    let current = queries::snapshot(platform).await?.ensure_decoded()?;
    if base.is_some_and(|base| base != current.revision) {
        return Err(raced_error(platform, base.unwrap_or_default()).await?);
    }
    let desired = document.apply_to(&current.entries);
    let problems = document.check_entries(&desired);
    if !problems.is_empty() {
        return Err(Error::Problems(problems));
    }
    commit_diff(platform, &current, &desired, author).await
}

/// Drains a zone: it gets no new work.
pub async fn drain(platform: &dyn Platform, zone: &str, author: &Author) -> Result<Applied> {
    set_drained(platform, zone, true, author).await
}

/// Restores a drained zone.
pub async fn restore(platform: &dyn Platform, zone: &str, author: &Author) -> Result<Applied> {
    set_drained(platform, zone, false, author).await
}

/// Revokes a key permanently.
pub async fn revoke(platform: &dyn Platform, key: &str, author: &Author) -> Result<Applied> {
    let address = Address::new(Kind::Key, key);
    edit(platform, author, |entries| match entries.get_mut(&address) {
        Some(Entry::Key(key)) => {
            key.revoked = true;
            Ok(())
        }
        _ => Err(missing_entry(&address)),
    })
    .await
}

/// Issues a key for a team. The secret is returned here and can't be read again later.
pub async fn issue_key(
    platform: &dyn Platform,
    team: &str,
    name: Option<&str>,
    author: &Author,
) -> Result<Issued> {
    let secret = format!("ck_{}", random_hex::<SECRET_BYTES>());
    let key = name.map_or_else(|| format!("{team}-{}", random_hex::<ID_BYTES>()), str::to_owned);
    let digest = hex(&Sha256::digest(secret.as_bytes()));
    let entry = ApiKey { team: team.to_owned(), digest, revoked: false };
    let owner = Address::new(Kind::Team, team);
    let address = Address::new(Kind::Key, &key);
    let prefix = format!("{}.{key}", Kind::Key.section());
    let applied = edit(platform, author, |entries| {
        if !entries.contains_key(&owner) {
            return Err(missing_entry(&owner));
        }
        if entries.contains_key(&address) {
            return Err(name_taken(&address));
        }
        entries.insert(address.clone(), Entry::Key(entry.clone()));
        // Existing problems of other entries don't prevent issuing a key.
        let mut problems = check(entries);
        problems.retain(|problem| problem.key.starts_with(&prefix));
        if problems.is_empty() {
            Ok(())
        } else {
            Err(Error::Problems(problems))
        }
    })
    .await?;
    Ok(Issued { key, secret, revision: applied.revision })
}

async fn set_drained(
    platform: &dyn Platform,
    zone: &str,
    drained: bool,
    author: &Author,
) -> Result<Applied> {
    let address = Address::new(Kind::Zone, zone);
    edit(platform, author, |entries| match entries.get_mut(&address) {
        Some(Entry::Zone(zone)) => {
            zone.drained = drained;
            Ok(())
        }
        _ => Err(missing_entry(&address)),
    })
    .await
}

/// Applies an edit to the newest configuration; retries while other changes are committed first.
async fn edit(
    platform: &dyn Platform,
    author: &Author,
    edit: impl Fn(&mut Entries) -> Result<()>,
) -> Result<Applied> {
    let mut attempts = 0;
    loop {
        let current = queries::snapshot(platform).await?.ensure_decoded()?;
        let mut desired = current.entries.clone();
        edit(&mut desired)?;
        attempts += 1;
        match commit_diff(platform, &current, &desired, author).await {
            Err(Error::Raced { .. }) if attempts < ATTEMPT_LIMIT => {}
            result => return result,
        }
    }
}

async fn commit_diff(
    platform: &dyn Platform,
    current: &Snapshot,
    desired: &Entries,
    author: &Author,
) -> Result<Applied> {
    let changes = diff(&current.entries, desired);
    if changes.is_empty() {
        return Ok(Applied { revision: current.revision, changes });
    }
    let record = AuditRecord {
        revision: current.revision.next(),
        apply: random_hex::<ID_BYTES>(),
        operator: author.operator.clone(),
        time: utc::now(),
        action: author.action.clone(),
        changes,
    };
    commit(platform, current, &record).await?;
    Ok(Applied { revision: record.revision, changes: record.changes })
}

fn missing_entry(address: &Address) -> Error {
    Error::Missing { kind: address.kind.name(), name: address.name.clone() }
}

fn name_taken(address: &Address) -> Error {
    let key = format!("{}.{}", address.kind.section(), address.name);
    let problem = corianderyoke_coord::register::Problem::new(
        key,
        "a name in use",
        "a name that no key has or had",
    );
    Error::Problems(vec![problem])
}

fn random_hex<const N: usize>() -> String {
    let mut bytes = [0; N];
    rand::rng().fill_bytes(&mut bytes);
    hex(&bytes)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
