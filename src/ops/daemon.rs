//! What the operations of all daemons share.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use corianderyoke_history::Recorder;
use corianderyoke_platform::http::HttpPlatform;
use corianderyoke_platform::http::Settings;

/// Finds the port that an address with port 0 stands for; it is free again when this returns, for
/// the real server.
pub fn reserve(asked: SocketAddr) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind(asked);
    let listener =
        listener.with_context(|| format!("failed to listen on {asked}; choose another"))?;
    Ok(listener.local_addr()?)
}

/// Client of the platform at `address`.
pub fn client(address: SocketAddr) -> anyhow::Result<Arc<HttpPlatform>> {
    let settings = Settings { address: address.to_string(), ..Settings::default() };
    let client = HttpPlatform::new(settings).context("failed to set up the platform's client")?;
    Ok(Arc::new(client))
}

/// Where a daemon records the events of a run: the file of its settings, or nowhere.
pub fn recorder(name: &str, file: &str) -> anyhow::Result<Recorder> {
    if file.is_empty() {
        return Ok(Recorder::off());
    }
    let process = format!("{name}#{}", std::process::id());
    Recorder::file(&process, Path::new(file)).context("failed to open the history file")
}
