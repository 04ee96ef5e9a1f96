//! What the HTTP servers of the stand-ins share.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::config::LogLevel;
use rocket::config::Shutdown;
use rocket::data::Limits;
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::tokio;
use rocket::tokio::sync::oneshot;
use rocket::Build;
use rocket::Config;
use rocket::Request;
use rocket::Rocket;

/// Longest body that a stand-in takes, in mebibytes.
const BODY_MEBIBYTES: u64 = 8;

/// How long an idle connection is kept.
const KEEP_ALIVE_SECONDS: u32 = 60;

/// Errors of starting a server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server didn't start.
    #[error("the http server didn't start, see to its routes and its port: {0}")]
    Start(String),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    shutdown: rocket::Shutdown,
}

impl Server {
    /// Where it listens, on loopback.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it without waiting for anything.
    pub fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

/// A quiet server on a loopback port of the system's choice that handles no signals.
pub(crate) fn rocket() -> Rocket<Build> {
    let body = BODY_MEBIBYTES.mebibytes();
    let shutdown = Shutdown {
        ctrlc: false,
        #[cfg(unix)]
        signals: Default::default(),
        grace: 0,
        mercy: 0,
        force: false,
        ..Shutdown::default()
    };
    let limits = Limits::new().limit("string", body).limit("json", body).limit("bytes", body);
    rocket::custom(Config {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port: 0,
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: KEEP_ALIVE_SECONDS,
        limits,
        shutdown,
        ..Config::release_default()
    })
}

/// Echoes `x-request-id` in every answer.
pub(crate) fn echo() -> AdHoc {
    AdHoc::on_response("echo", |request, response| {
        Box::pin(async move {
            if let Some(id) = request.headers().get_one("x-request-id") {
                response.set_raw_header("x-request-id", id.to_owned());
            }
        })
    })
}

/// Starts a server and returns once it listens.
pub(crate) async fn start(rocket: Rocket<Build>) -> Result<Server> {
    let (sender, bound) = oneshot::channel();
    let sender = Arc::new(Mutex::new(Some(sender)));
    let liftoff = AdHoc::on_liftoff("address", move |rocket| {
        Box::pin(async move {
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            if let Some(sender) = sender.lock().take() {
                let _ = sender.send(address);
            }
        })
    });
    let rocket = rocket.attach(liftoff);
    let rocket = rocket.ignite().await.map_err(|error| {
        let text = error.to_string();
        error.pretty_print();
        Error::Start(text)
    })?;
    let shutdown = rocket.shutdown();
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            log::warn!("a stand-in's http server ended: {error}");
        }
    });
    let address = bound.await.map_err(|_| Error::Start("it ended at once".to_owned()))?;
    Ok(Server { address, shutdown })
}

/// Headers and connection of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meta {
    /// Header names in lower case, with their values joined by commas.
    pub headers: IndexMap<String, String>,
    /// The relay's address of the connection.
    pub remote: Option<SocketAddr>,
}

impl Meta {
    /// Headers and connection of `request`.
    pub fn of(request: &Request<'_>) -> Self {
        let mut headers = IndexMap::<String, String>::new();
        for header in request.headers().iter() {
            let value = headers.entry(header.name().as_str().to_ascii_lowercase()).or_default();
            if !value.is_empty() {
                value.push(',');
            }
            value.push_str(header.value());
        }
        Meta { headers, remote: request.remote() }
    }

    /// Value of a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Meta {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Meta::of(request))
    }
}
