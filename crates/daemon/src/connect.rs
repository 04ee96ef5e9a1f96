//! Opens connections to instances.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Opens a connection that sends small packets at once.
///
/// # Errors
///
/// Returns why the instance didn't accept; [`ErrorKind::TimedOut`] if it didn't within `limit`.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<TcpStream, ErrorKind> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    };
    let result = timeout(limit, connecting).await;
    result
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
        .map_err(|error: io::Error| error.kind())
}
