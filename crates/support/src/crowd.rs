//! Clients that load a process by holding connections open, and the process's use of resources.

use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Interval between two looks at a process's open descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay between the starts of two connections, so that none waits for a lost handshake.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);

/// What each connection of a crowd sends. It reads nothing, and stays open afterwards.
#[derive(Clone, Debug)]
pub struct Script {
    /// Number of connections.
    pub connections: usize,
    /// Bytes sent first.
    pub begin: Vec<u8>,
    /// Bytes sent again and again after them.
    pub piece: Vec<u8>,
    /// How often `piece` is sent; `None` to send it until the connection fails.
    pub pieces: Option<usize>,
    /// Pause before each piece.
    pub pause: Duration,
}

/// Connections that stay open until this is dropped.
#[derive(Debug)]
pub struct Crowd {
    connections: JoinSet<()>,
}

impl Crowd {
    /// Starts the connections, and waits until all have sent their bytes or failed, or until
    /// `limit` is over. Those that haven't sent all then go on.
    pub async fn start(address: SocketAddr, script: &Script, limit: Duration) -> Crowd {
        let script = Arc::new(script.clone());
        let done = Arc::new(Semaphore::new(0));
        let mut connections = JoinSet::new();
        let start = async {
            for _ in 0..script.connections {
                let (script, done) = (Arc::clone(&script), Arc::clone(&done));
                connections.spawn(async move {
                    let stream = TcpStream::connect(address).await;
                    if let Ok(stream) = &stream {
                        // The process may refuse the bytes and close the connection.
                        let _ = send(stream, &script).await;
                    }
                    done.add_permits(1);
                    std::future::pending::<()>().await;
                    drop(stream);
                });
                sleep(CONNECT_INTERVAL).await;
            }
            let count = u32::try_from(script.connections).unwrap_or(u32::MAX);
            let _ = done.acquire_many(count).await;
        };
        // Running out of time leaves the connections that were started.
        let _ = timeout(limit, start).await;
        Crowd { connections }
    }

    /// Returns the number of connections that were started.
    pub fn started(&self) -> usize {
        self.connections.len()
    }
}

async fn send(stream: &TcpStream, script: &Script) -> std::io::Result<()> {
    write_all(stream, &script.begin).await?;
    let mut count = 0;
    while script.pieces.is_none_or(|pieces| count < pieces) {
        if !script.pause.is_zero() {
            sleep(script.pause).await;
        }
        write_all(stream, &script.piece).await?;
        count += 1;
    }
    Ok(())
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Resources that a process has used, from `/proc`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Peak resident memory since the start of the process, in bytes.
    pub peak_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Returns the resources that a process uses.
///
/// # Errors
///
/// The process has ended, or `/proc` isn't there.
pub fn usage(pid: u32) -> Result<Usage> {
    let folder = PathBuf::from(format!("/proc/{pid}"));
    let status = std::fs::read_to_string(folder.join("status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB"));
    let kilobytes: u64 = kilobytes.context("the process has no memory")?.parse()?;
    let descriptors = std::fs::read_dir(folder.join("fd"))?.count();
    Ok(Usage { peak_bytes: kilobytes * 1024, descriptors })
}

/// Observes a process until `work` ends. Returns the peak of each resource, and the result.
///
/// # Errors
///
/// The process has ended.
pub async fn observe<T>(pid: u32, work: impl Future<Output = T>) -> Result<(Usage, T)> {
    let mut most = 0;
    let sample = async {
        loop {
            // A process that has ended is reported below.
            most = most.max(usage(pid).unwrap_or_default().descriptors);
            sleep(SAMPLE_INTERVAL).await;
        }
    };
    let result = tokio::select! {
        result = work => result,
        () = sample => unreachable!("the samples have no end"),
    };
    let last = usage(pid)?;
    Ok((Usage { descriptors: most.max(last.descriptors), ..last }, result))
}
