//! Takes connections.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause after a failed accept, which mostly means that descriptors ran out.
const PAUSE: Duration = Duration::from_millis(20);

/// The next connection.
pub async fn next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(PAUSE).await,
        }
    }
}
