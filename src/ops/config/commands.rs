//! Changes of the configuration.

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
use super::commit::raced;
use super::queries;
use super::AuditRecord;
use super::Error;
use super::Result;
use super::Snapshot;
use crate::util::utc;

/// Tries of a command on one entry, which is made anew when somebody else's change came first.
const TRIES: usize = 8;
/// Random bytes of a secret.
const SECRET_BYTES: usize = 32;
/// Random bytes of ids and key names.
const ID_BYTES: usize = 8;

/// Who makes a change, by which command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Author {
    /// The operator's name.
    pub operator: String,
    /// The command, as the audit trail shows it.
    pub action: String,
}

/// A change that is accepted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Applied {
    /// Revision in force once members have it.
    pub revision: Revision,
    /// What changed; empty when all was so already.
    pub changes: Vec<Change>,
}

/// A key that was issued.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Issued {
    /// Name of the key.
    pub key: String,
    /// The secret, which is kept nowhere.
    pub secret: String,
    /// Revision that added it.
    pub revision: Revision,
}

/// Applies a document to the configuration, provided it's still at `base` where one is given.
pub async fn apply(
    platform: &dyn Platform,
    document: &Document,
    base: Option<Revision>,
    author: &Author,
) -> Result<Applied> {
    let present = queries::snapshot(platform).await?.whole()?;
    if base.is_some_and(|base| base != present.revision) {
        return Err(raced(platform, base.unwrap_or_default()).await?);
    }
    let wanted = document.apply_to(&present.entries);
    let problems = document.check_entries(&wanted);
    if !problems.is_empty() {
        return Err(Error::Problems(problems));
    }
    change(platform, &present, &wanted, author).await
}

/// Takes a zone out: it gets no new work.
pub async fn drain(platform: &dyn Platform, zone: &str, author: &Author) -> Result<Applied> {
    set_drained(platform, zone, true, author).await
}

/// Brings a zone back.
pub async fn restore(platform: &dyn Platform, zone: &str, author: &Author) -> Result<Applied> {
    set_drained(platform, zone, false, author).await
}

/// Withdraws a key for good.
pub async fn revoke(platform: &dyn Platform, key: &str, author: &Author) -> Result<Applied> {
    let address = Address::new(Kind::Key, key);
    edit(platform, author, |entries| match entries.get_mut(&address) {
        Some(Entry::Key(key)) => {
            key.revoked = true;
            Ok(())
        }
        _ => Err(missing(&address)),
    })
    .await
}

/// Issues a key for a team; the secret is shown here and nowhere else.
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
            return Err(missing(&owner));
        }
        if entries.contains_key(&address) {
            return Err(taken(&address));
        }
        entries.insert(address.clone(), Entry::Key(entry.clone()));
        // Problems that other entries have already don't stop a key.
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
        _ => Err(missing(&address)),
    })
    .await
}

/// Makes an edit on the newest configuration, anew as long as others come first.
async fn edit(
    platform: &dyn Platform,
    author: &Author,
    edit: impl Fn(&mut Entries) -> Result<()>,
) -> Result<Applied> {
    let mut tries = 0;
    loop {
        let present = queries::snapshot(platform).await?.whole()?;
        let mut wanted = present.entries.clone();
        edit(&mut wanted)?;
        tries += 1;
        match change(platform, &present, &wanted, author).await {
            Err(Error::Raced { .. }) if tries < TRIES => {}
            result => return result,
        }
    }
}

async fn change(
    platform: &dyn Platform,
    present: &Snapshot,
    wanted: &Entries,
    author: &Author,
) -> Result<Applied> {
    let changes = diff(&present.entries, wanted);
    if changes.is_empty() {
        return Ok(Applied { revision: present.revision, changes });
    }
    let record = AuditRecord {
        revision: present.revision.next(),
        apply: random_hex::<ID_BYTES>(),
        operator: author.operator.clone(),
        time: utc::now(),
        action: author.action.clone(),
        changes,
    };
    commit(platform, present, &record).await?;
    Ok(Applied { revision: record.revision, changes: record.changes })
}

fn missing(address: &Address) -> Error {
    Error::Missing { kind: address.kind.name(), name: address.name.clone() }
}

fn taken(address: &Address) -> Error {
    let key = format!("{}.{}", address.kind.section(), address.name);
    let problem = corianderyoke_coord::register::Problem::new(
        key,
        "a name in use",
        "a name that no key has, nor had",
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
