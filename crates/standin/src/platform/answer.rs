//! Error responses of the platform stand-in, with a status other than 2xx.

use corianderyoke_platform::protocol::ErrorAnswer;
use corianderyoke_platform::Error;
use rocket::catch;
use rocket::catchers;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::Catcher;
use rocket::Request;

/// Status and JSON body of an error response.
pub(super) type ErrorResponse = (Status, Json<ErrorAnswer>);

/// Result of a request handler.
pub(super) type Result<T> = std::result::Result<T, ErrorResponse>;

/// Converts an error of the store into a response: 503 means that nothing took effect, 504 that the
/// outcome is unknown, and 400 that the request is invalid.
pub(super) fn error_response(error: Error) -> ErrorResponse {
    let (status, error) = match error {
        Error::Unavailable(message) => (Status::ServiceUnavailable, message),
        Error::Unknown(message) => (Status::GatewayTimeout, message),
        Error::Invalid(message) => (Status::BadRequest, message),
    };
    (status, Json(ErrorAnswer { error }))
}

/// Returns the catchers that turn Rocket's own errors into JSON.
pub(super) fn catchers() -> Vec<Catcher> {
    catchers![default_error]
}

#[catch(default)]
fn default_error(status: Status, request: &Request<'_>) -> Json<ErrorAnswer> {
    let reason = status.reason_lossy();
    Json(ErrorAnswer { error: format!("{}: {} {}", reason, request.method(), request.uri()) })
}
