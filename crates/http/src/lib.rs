//! Launches Rocket servers on an address, with one way to bind and to stop.
//!
//! Rocket's own signal handling and grace periods are switched off: a server here ends when its
//! owner says so, after the owner has seen its last request finished.

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

/// Seconds that Rocket waits for connections once the owner stops the server.
const GRACE_SECONDS: u32 = 1;
/// Seconds that Rocket waits after the grace period.
const MERCY_SECONDS: u32 = 1;
/// Seconds for which an idle connection is kept.
const KEEP_ALIVE_SECONDS: u32 = 30;

/// Cause given when the server ended without one.
const STARTING: &str = "the server ended while it started";

/// Errors of a launch.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server ended before it listened.
    #[error(
        "failed to listen on {address}: {cause}; choose an address of this instance that is free"
    )]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// What Rocket reported.
        cause: String,
    },
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A server that listens.
#[derive(Debug)]
pub struct Running {
    /// The address bound, with the port the system chose where 0 was asked for.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<Option<String>>,
}

impl Running {
    /// Stops the server and waits until it ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        // A join error means the server task panicked, and then it has ended as well.
        let _ = self.task.await;
    }

    /// Tells the server to stop without waiting for it.
    pub fn notify(&self) {
        self.shutdown.clone().notify();
    }

    /// Waits until the server ended.
    pub async fn ended(&mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Rocket settings for a server on `address`: quiet, no signal handlers, our own shutdown.
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

/// Ignites `rocket` (made from [`config`]) and waits until it listens.
pub async fn launch(rocket: Rocket<Build>, address: SocketAddr) -> Result<Running> {
    let (told, listening) = oneshot::channel();
    let told = Mutex::new(Some(told));
    let liftoff = AdHoc::on_liftoff("bound address", move |rocket| {
        let told = told.lock().ok().and_then(|mut told| told.take());
        Box::pin(async move {
            if let Some(told) = told {
                let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
                let _ = told.send((bound, rocket.shutdown()));
            }
        })
    });
    let rocket = rocket.attach(liftoff);
    let mut task = tokio::spawn(run(rocket));
    tokio::select! {
        heard = listening => match heard {
            Ok((bound, shutdown)) => Ok(Running { address: bound, shutdown, task }),
            Err(_) => Err(Error::Listen { address, cause: STARTING.to_owned() }),
        },
        ended = &mut task => {
            let cause = ended.unwrap_or_else(|e| Some(e.to_string()));
            Err(Error::Listen { address, cause: cause.unwrap_or_else(|| STARTING.to_owned()) })
        }
    }
}

/// Runs a server to its end; what Rocket reported where it failed.
async fn run(rocket: Rocket<Build>) -> Option<String> {
    // Looking at the error's kind also keeps Rocket from panicking when the error is dropped.
    rocket.launch().await.err().map(|e| e.kind().to_string())
}
