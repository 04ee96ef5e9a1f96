//! Sends each arrival when it is due and collects the samples.

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

/// Time from the call of [`drive`] to the start of the schedule.
const START_DELAY: Duration = Duration::from_millis(50);
/// Time between two progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Outcome and latency of one arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The request, with its scheduled time.
    pub arrival: Arrival,
    /// Time from the scheduled start to the end of the request.
    pub latency: Duration,
    /// Time from the scheduled start to the first body bytes of a successful response, if any.
    pub first_byte: Option<Duration>,
    /// How the request ended.
    pub outcome: Outcome,
}

/// Sends every arrival when it is due and returns the samples in order of completion.
///
/// Reports progress on standard error, prefixed with `label`.
pub async fn drive(
    label: &str,
    arrivals: Vec<Arrival>,
    target: Arc<Target>,
) -> Result<Vec<Sample>> {
    let total = arrivals.len();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let handle = Handle::current();
    let start = Instant::now() + START_DELAY;
    // A dedicated thread: the runtime's timers are too coarse for latencies of a millisecond.
    let sending = spawn_blocking(move || {
        for arrival in arrivals {
            let due = start + arrival.at;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let target = Arc::clone(&target);
            let sender = sender.clone();
            handle.spawn(async move {
                let (outcome, first_byte) = target.send(&arrival).await;
                let first_byte = first_byte.map(|first| first.saturating_duration_since(due));
                // The send fails only if the whole run was dropped.
                let _ =
                    sender.send(Sample { arrival, latency: due.elapsed(), first_byte, outcome });
            });
        }
    });
    let mut samples = Vec::with_capacity(total);
    let mut last_report = Instant::now();
    while let Some(sample) = receiver.recv().await {
        samples.push(sample);
        if last_report.elapsed() >= PROGRESS_INTERVAL {
            last_report = Instant::now();
            report_progress(label, samples.len(), total);
        }
    }
    sending.await?;
    report_progress(label, samples.len(), total);
    Ok(samples)
}

fn report_progress(label: &str, completed: usize, total: usize) {
    if stderr().is_terminal() {
        eprint!("\r{label}: {completed} of {total} requests completed   ");
        if completed == total {
            eprintln!();
        }
    } else {
        eprintln!("{label}: {completed} of {total} requests completed");
    }
}
