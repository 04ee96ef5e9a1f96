//! Memory of a compiled register and the time to compile it, by the number of upstreams.

use std::hint::black_box;
use std::time::Instant;

use anyhow::Result;
use corianderyoke_coord::register::Adapter;
use corianderyoke_coord::register::Address;
use corianderyoke_coord::register::ApiKey;
use corianderyoke_coord::register::Entries;
use corianderyoke_coord::register::Entry;
use corianderyoke_coord::register::Grant;
use corianderyoke_coord::register::Kind;
use corianderyoke_coord::register::Model;
use corianderyoke_coord::register::Register;
use corianderyoke_coord::register::Revision;
use corianderyoke_coord::register::Team;
use corianderyoke_coord::register::Upstream;

use super::processes;
use super::Finding;
use crate::ops::bench::measure::Measure;

/// Number of upstreams at the planned size.
const UPSTREAMS: usize = 12_000;
/// Number of models at the planned size.
const MODELS: usize = 440;
/// Number of adapters at the planned size.
const ADAPTERS: usize = 1_700;
/// Number of teams; each has two API keys.
const TEAMS: usize = 500;
/// Copies of a register in memory at each measurement; the result is the mean of one copy.
const COPIES: usize = 8;
/// Upper bound of a daemon's memory, in megabytes.
const BOUND_MB: f64 = 64.0;

/// Compiles registers of three sizes; the bound applies to the largest.
pub fn run() -> Result<Finding> {
    let mut notes = Vec::new();
    let mut largest = 0.0;
    for upstreams in [10, 1_000, UPSTREAMS] {
        let entries = entries(upstreams);
        let total_bytes: usize =
            entries.iter().map(|(address, entry)| row_bytes(address, entry)).sum();
        let memory_before = processes::resident_bytes(std::process::id())?;
        let start = Instant::now();
        let copies: Vec<Register> =
            (0..COPIES).map(|copy| Register::compile(Revision(copy as u64), &entries)).collect();
        let compile_ms = start.elapsed().as_secs_f64() * 1000.0 / COPIES as f64;
        let memory_after = processes::resident_bytes(std::process::id())?;
        let memory = memory_after.saturating_sub(memory_before) as f64 / 1e6 / COPIES as f64;
        black_box(&copies);
        // Leaked, so that the next size doesn't reuse memory that this one freed.
        std::mem::forget(copies);
        notes.push(format!(
            "{upstreams} upstreams, {} entries: {memory:.2} MB a copy, compiled in \
             {compile_ms:.1} ms, {:.2} MB as rows",
            entries.len(),
            total_bytes as f64 / 1e6
        ));
        largest = memory;
        std::mem::forget(entries);
    }
    let measure = Measure {
        measure: "memory of a register of 12,000 upstreams, 440 models and 1,700 adapters"
            .to_owned(),
        unit: "MB".to_owned(),
        ours: largest,
        bound: Some(BOUND_MB),
        ..Measure::default()
    };
    Ok(Finding { measure: measure.judged(), charts: Vec::new(), notes })
}

/// Bytes of an entry as a row of the platform's table.
fn row_bytes(address: &Address, entry: &Entry) -> usize {
    address.to_string().len() + entry.to_value().to_string().len()
}

fn entries(upstreams: usize) -> Entries {
    let mut entries = Entries::new();
    for number in 0..upstreams {
        let upstream = Upstream {
            zone: format!("z{}", number % 12),
            address: format!("10.{}.{}.{}:8000", number >> 16, number >> 8 & 255, number & 255),
            ..Upstream::default()
        };
        let name = format!("engine-{number:05}");
        entries.insert(Address::new(Kind::Upstream, &name), Entry::Upstream(upstream));
    }
    for number in 0..MODELS {
        let name = format!("model-{number:03}");
        entries.insert(Address::new(Kind::Model, &name), Entry::Model(Model::default()));
    }
    for number in 0..ADAPTERS {
        let model = format!("model-{:03}", number % MODELS);
        let adapter = Adapter { model, ..Adapter::default() };
        let name = format!("adapter-{number:04}");
        entries.insert(Address::new(Kind::Adapter, &name), Entry::Adapter(adapter));
    }
    for number in 0..TEAMS {
        let name = format!("team-{number:03}");
        entries.insert(Address::new(Kind::Team, &name), Entry::Team(Team::default()));
        let grant = Grant { models: ["*".to_owned()].into_iter().collect(), ..Grant::default() };
        entries.insert(Address::new(Kind::Grant, &name), Entry::Grant(grant));
        for key in 0..2 {
            let digest = format!("{:064x}", number * 2 + key);
            let entry = ApiKey { team: name.clone(), digest, revoked: false };
            let key = format!("{name}-{key}");
            entries.insert(Address::new(Kind::Key, &key), Entry::Key(entry));
        }
    }
    entries
}
