//! Accepts TCP connections.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Delay after a failed accept, which usually means that file descriptors ran out.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection.
pub async fn next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}
