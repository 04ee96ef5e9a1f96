//! Launches Rocket servers with a common way to bind, report errors and shut down.
//!
//! Rocket's signal handling is disabled and its grace periods are short, because the owner of a
//! server stops it after the last request has finished.

#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::sync::Mutex;

use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::fairing::AdHoc;
use rocket::Build;
use rocket::Config;
use rocket::Rocket;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Seconds that Rocket waits for open requests after the owner stops the server.
const GRACE_SECONDS: u32 = 1;
/// Seconds that Rocket waits for connections to close after the grace period.
const MERCY_SECONDS: u32 = 1;
/// Seconds for which an idle connection stays open.
const KEEP_ALIVE_SECONDS: u32 = 30;

/// Cause reported when the server ended during startup without an error.
const ENDED_EARLY: &str = "the server ended during startup";

/// Errors of launching a server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server ended before it accepted connections.
    #[error(
        "failed to listen on {address}: {cause}; choose an address of this instance that is free"
    )]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error that Rocket reported.
        cause: String,
    },
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Handle of a server that accepts connections.
#[derive(Debug)]
pub struct Running {
    /// The bound address; if port 0 was requested, with the port that the system assigned.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<Option<String>>,
}

impl Running {
    /// Stops the server and waits until it has ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        // A join error means that the server task panicked, so it has ended too.
        let _ = self.task.await;
    }

    /// Asks the server to stop without waiting for its end.
    pub fn notify(&self) {
        self.shutdown.clone().notify();
    }

    /// Waits until the server has ended.
    pub async fn ended(&mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Rocket settings for a server on `address`, without logging and signal handlers.
pub fn config(address: SocketAddr) -> Config {
    let shutdown = ShutdownConfig {
        ctrlc: false,
        signals: Default::default(),
        grace: GRACE_SECONDS,
        mercy: MERCY_SECONDS,
        ..ShutdownConfig::default()
    };
    Config {
        address: address.ip(),
        port: address.port(),
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: LogLevel::Off,
        shutdown,
        ..Config::default()
    }
}

/// Launches `rocket`, which must use [`config`], and waits until it accepts connections.
pub async fn launch(rocket: Rocket<Build>, address: SocketAddr) -> Result<Running> {
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let liftoff = AdHoc::on_liftoff("bound address", move |rocket| {
        let sender = sender.lock().ok().and_then(|mut sender| sender.take());
        Box::pin(async move {
            if let Some(sender) = sender {
                let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
                let _ = sender.send((bound, rocket.shutdown()));
            }
        })
    });
    let rocket = rocket.attach(liftoff);
    let mut task = tokio::spawn(run(rocket));
    tokio::select! {
        launched = receiver => match launched {
            Ok((bound, shutdown)) => Ok(Running { address: bound, shutdown, task }),
            Err(_) => Err(Error::Listen { address, cause: ENDED_EARLY.to_owned() }),
        },
        result = &mut task => {
            let cause = result.unwrap_or_else(|e| Some(e.to_string()));
            Err(Error::Listen { address, cause: cause.unwrap_or_else(|| ENDED_EARLY.to_owned()) })
        }
    }
}

/// Runs a server until it ends and returns Rocket's error, if any.
async fn run(rocket: Rocket<Build>) -> Option<String> {
    // Reading the error's kind also prevents Rocket's panic when an unread error is dropped.
    rocket.launch().await.err().map(|e| e.kind().to_string())
}
