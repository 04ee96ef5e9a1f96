//! Answers other than 2xx.

use corianderyoke_platform::protocol::ErrorAnswer;
use corianderyoke_platform::Error;
use rocket::catch;
use rocket::catchers;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::Catcher;
use rocket::Request;

/// Status and text of a request that failed.
pub(super) type Failure = (Status, Json<ErrorAnswer>);

/// Result of a request.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// The answer for a store's error: 503 says that nothing took effect, 504 that nobody knows.
pub(super) fn failure(error: Error) -> Failure {
    let (status, error) = match error {
        Error::Unavailable(text) => (Status::ServiceUnavailable, text),
        Error::Unknown(text) => (Status::GatewayTimeout, text),
        Error::Invalid(text) => (Status::BadRequest, text),
    };
    (status, Json(ErrorAnswer { error }))
}

/// Catchers that answer in JSON.
pub(super) fn catchers() -> Vec<Catcher> {
    catchers![other]
}

#[catch(default)]
fn other(status: Status, request: &Request<'_>) -> Json<ErrorAnswer> {
    let reason = status.reason_lossy();
    Json(ErrorAnswer { error: format!("{}: {} {}", reason, request.method(), request.uri()) })
}
