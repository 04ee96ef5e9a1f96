//! How a daemon learns that it should stop.

use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The system doesn't let this process listen for signals.
pub async fn told_to_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
