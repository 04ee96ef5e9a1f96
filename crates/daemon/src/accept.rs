//! Accepts TCP connections.

use std::sync::Arc;
use std::time::Duration;

use corianderyoke_util::memory::Connection;
use corianderyoke_util::memory::Memory;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Delay after a failed accept, which usually means that file descriptors ran out.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection that `memory` admits, and closes the others.
pub async fn next(listener: &TcpListener, memory: &Arc<Memory>) -> (TcpStream, Arc<Connection>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(connection) = memory.connect() {
                    return (stream, connection);
                }
                drop(stream);
                // Connections that give way are closed by their own tasks.
                yield_now().await;
            }
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}
