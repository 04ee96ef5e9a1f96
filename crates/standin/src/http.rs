//! Shared parts of the stand-ins' HTTP servers.

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

/// Maximum size of a request body, in mebibytes.
const MAX_BODY_MEBIBYTES: u64 = 8;

/// Listening address of a server behind a relay: a free port on loopback.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Builds a server on [`loopback`] that accepts large bodies.
pub(crate) fn rocket() -> Rocket<Build> {
    let max_body = MAX_BODY_MEBIBYTES.mebibytes();
    let limits = Limits::new().limit("string", max_body).limit("json", max_body);
    rocket::custom(Config { limits, ..corianderyoke_http::config(loopback()) })
}

/// Returns a fairing that copies `x-request-id` from each request to its response.
pub(crate) fn echo_request_id() -> AdHoc {
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
pub(crate) struct RequestMeta {
    /// Header names in lower case, with their values joined by commas.
    pub headers: IndexMap<String, String>,
    /// The relay's local address of the connection.
    pub remote: Option<SocketAddr>,
}

impl RequestMeta {
    /// Reads the headers and connection of `request`.
    pub fn new(request: &Request<'_>) -> Self {
        let mut headers = IndexMap::<String, String>::new();
        for header in request.headers().iter() {
            let value = headers.entry(header.name().as_str().to_ascii_lowercase()).or_default();
            if !value.is_empty() {
                value.push(',');
            }
            value.push_str(header.value());
        }
        RequestMeta { headers, remote: request.remote() }
    }

    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestMeta {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(RequestMeta::new(request))
    }
}
