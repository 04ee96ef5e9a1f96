//! What the HTTP servers of the stand-ins share.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rocket::data::Limits;
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::Build;
use rocket::Config;
use rocket::Request;
use rocket::Rocket;

/// Longest body that a stand-in takes, in mebibytes.
const BODY_MEBIBYTES: u64 = 8;

/// Where the servers behind the relays listen: a loopback port of the system's choice.
pub(crate) fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A server for [`local`] that takes large bodies.
pub(crate) fn rocket() -> Rocket<Build> {
    let body = BODY_MEBIBYTES.mebibytes();
    let limits = Limits::new().limit("string", body).limit("json", body);
    rocket::custom(Config { limits, ..corianderyoke_http::config(local()) })
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
