//! Sends arrivals when they are due.

use std::io::stderr;
use std::io::IsTerminal;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;

use super::schedule::Arrival;
use super::target::Outcome;
use super::target::Target;

/// Time between the call and the first arrival's zero.
const LEAD: Duration = Duration::from_millis(50);
/// Time between two lines of progress.
const PROGRESS_EVERY: Duration = Duration::from_secs(2);

/// What became of one arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The arrival.
    pub arrival: Arrival,
    /// Span from when it was due to its end.
    pub latency: Duration,
    /// Span from when it was due to the first bytes of its answer.
    pub first_byte: Option<Duration>,
    /// How it ended.
    pub outcome: Outcome,
}

/// Sends every arrival when it is due and returns the samples in the order of their ends.
///
/// `label` names the run in the progress, which goes to standard error.
pub async fn drive(
    label: &str,
    arrivals: Vec<Arrival>,
    target: Arc<Target>,
) -> Result<Vec<Sample>> {
    let all = arrivals.len();
    let (done, mut coming) = mpsc::unbounded_channel();
    let handle = Handle::current();
    let start = Instant::now() + LEAD;
    // A thread of its own: the runtime's timers are too coarse for latencies of a millisecond.
    let sender = spawn_blocking(move || {
        for arrival in arrivals {
            let due = start + arrival.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let target = Arc::clone(&target);
            let done = done.clone();
            handle.spawn(async move {
                let (outcome, first_byte) = target.send(&arrival).await;
                let first_byte = first_byte.map(|first| first.saturating_duration_since(due));
                // The receiver ends only with the whole run.
                let _ = done.send(Sample { arrival, latency: due.elapsed(), first_byte, outcome });
            });
        }
    });
    let mut samples = Vec::with_capacity(all);
    let mut said = Instant::now();
    while let Some(sample) = coming.recv().await {
        samples.push(sample);
        if said.elapsed() >= PROGRESS_EVERY {
            said = Instant::now();
            progress(label, samples.len(), all);
        }
    }
    sender.await?;
    progress(label, samples.len(), all);
    Ok(samples)
}

fn progress(label: &str, ended: usize, all: usize) {
    if stderr().is_terminal() {
        eprint!("\r{label}: {ended} of {all} requests ended   ");
        if ended == all {
            eprintln!();
        }
    } else {
        eprintln!("{label}: {ended} of {all} requests ended");
    }
}
