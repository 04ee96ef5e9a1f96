//! Signals that ask a process to shut down.

use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when a signal handler can't be registered.
pub async fn shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
