//! Setup that routers and controllers share: the platform client and the history.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use corianderyoke_history::Recorder;
use corianderyoke_platform::http::HttpPlatform;
use corianderyoke_platform::http::Settings;

/// Creates a client of the platform at `address`.
pub fn client(address: SocketAddr) -> anyhow::Result<Arc<HttpPlatform>> {
    let settings = Settings { address: address.to_string(), ..Settings::default() };
    let client = HttpPlatform::new(settings).context("failed to set up the platform's client")?;
    Ok(Arc::new(client))
}

/// Opens the recorder of a daemon's history events; an empty `file` turns recording off.
pub fn recorder(name: &str, file: &str) -> anyhow::Result<Recorder> {
    if file.is_empty() {
        return Ok(Recorder::off());
    }
    let process = format!("{name}#{}", std::process::id());
    Recorder::file(&process, Path::new(file)).context("failed to open the history file")
}
