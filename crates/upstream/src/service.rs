//! Calls to plain services, sent at most once.
//!
//! Each call uses a new connection, and the HTTP library never retries it. After a failure to
//! connect the call is known not to have run; after any later failure its outcome is unknown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderyoke_util::memory;
use corianderyoke_util::memory::Connection;
use reqwest::header::CONTENT_LENGTH;
use reqwest::header::TRANSFER_ENCODING;
use reqwest::Method;
use reqwest::Response;
use reqwest::Url;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::client::read_body;
use crate::error::describe;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::error::TimeoutPhase;
use crate::generate::echoed_id;
use crate::generate::REQUEST_ID;
use crate::headers;
use crate::headers::Headers;
use crate::Client;

/// A call to a plain service.
#[derive(Clone)]
pub struct Call {
    /// Request id; a response with another id is rejected, one without an id is accepted.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path in normal form, with a leading slash, and query.
    pub path: String,
    /// The caller's headers; only [`headers::REQUEST_HEADERS`] are forwarded.
    pub headers: Headers,
    /// Request body; not sent if empty.
    pub body: Bytes,
    /// Connection of the caller, to which the response is charged; `None` to charge nothing.
    pub connection: Option<Arc<Connection>>,
    /// Timeout to the end of the response.
    pub timeout: Duration,
    /// The caller's key, or empty. A call that contains it anywhere isn't sent.
    pub secret: String,
}

impl Default for Call {
    fn default() -> Self {
        Call {
            id: String::new(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Headers::new(),
            body: Bytes::new(),
            connection: None,
            timeout: Duration::from_secs(10),
            secret: String::new(),
        }
    }
}

/// A complete response of a plain service, with any status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers in [`headers::RESPONSE_HEADERS`].
    pub headers: Headers,
    /// Response body.
    pub body: Bytes,
}

impl Client {
    /// Sends a call at most once, on a new connection.
    ///
    /// # Errors
    ///
    /// The outcome is [`Outcome::NotRun`](crate::Outcome::NotRun) if the connection can't be opened
    /// or the call is invalid, else [`Outcome::Unknown`](crate::Outcome::Unknown).
    pub async fn call_once(&self, address: SocketAddr, call: Call) -> Result<Answer> {
        let deadline = Instant::now() + call.timeout;
        let request = self.service_request(address, &call)?;
        let response = match timeout_at(deadline, request.send()).await {
            Err(_) => return Err(Error::unknown(Kind::Timeout(TimeoutPhase::First))),
            Ok(Err(error)) => return Err(Error::from_transport(&error)),
            Ok(Ok(response)) => response,
        };
        match echoed_id(&response) {
            Some(found) if found != call.id => {
                return Err(Error::unknown(Kind::crossed(found)));
            }
            _ => {}
        }
        if !is_framed(&response, &call.method) {
            return Err(Error::unknown(Kind::Truncated));
        }
        let status = response.status().as_u16();
        let headers = headers::for_caller(&header_map(&response));
        let limit = self.settings.body_bytes;
        let body = match &call.connection {
            Some(connection) => {
                timeout_at(deadline, buffer_body(response, limit, connection)).await
            }
            None => {
                let body = timeout_at(deadline, read_body(response, limit)).await;
                body.map(|body| body.map(Bytes::from))
            }
        };
        let body = body.map_err(|_| Error::unknown(Kind::Timeout(TimeoutPhase::Body)))??;
        Ok(Answer { status, headers, body })
    }

    fn service_request(&self, address: SocketAddr, call: &Call) -> Result<reqwest::RequestBuilder> {
        let invalid = |text: &str| Error::not_run(Kind::Invalid(text.to_owned()));
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| invalid("the method isn't one of http"))?;
        let url = url(address, &call.path)?;
        let forwarded = headers::for_upstream(&call.headers);
        if call.contains_secret(&forwarded) {
            return Err(invalid("it carries the caller's key, take it out"));
        }
        let mut request = self.unpooled.request(method, url).header(REQUEST_ID, &call.id);
        for (name, value) in forwarded {
            request = request.header(name, value);
        }
        if call.body.is_empty() {
            return Ok(request);
        }
        Ok(request.body(call.body.clone()))
    }
}

/// Reads a whole body into a buffer that is charged to the caller's connection.
async fn buffer_body(
    mut response: Response,
    limit: usize,
    connection: &Connection,
) -> Result<Bytes> {
    let failed = |error: memory::Error| match error {
        memory::Error::TooLarge => Error::unknown(Kind::TooLong { limit }),
        memory::Error::NoMemory => Error::unknown(Kind::Broken(error.to_string())),
    };
    let length = response.content_length();
    let mut buffer = connection.answer_buffer(length, limit).await.map_err(failed)?;
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) => buffer.extend(&bytes).await.map_err(failed)?,
            Ok(None) => return Ok(buffer.into_bytes()),
            Err(error) => return Err(Error::unknown(Kind::Broken(describe(&error)))),
        }
    }
}

impl Call {
    fn contains_secret(&self, forwarded: &Headers) -> bool {
        let texts = [self.id.as_bytes(), self.path.as_bytes(), &self.body];
        let values = forwarded.values().map(String::as_bytes);
        texts.into_iter().chain(values).any(|text| headers::contains_secret(text, &self.secret))
    }
}

/// Builds the URL of a call. Rejects a path that isn't in normal form: one with `..` would reach a
/// resource other than the one that the caller was authorized for.
fn url(address: SocketAddr, path: &str) -> Result<Url> {
    let invalid = |text: &str| Error::not_run(Kind::Invalid(text.to_owned()));
    if !path.starts_with('/') {
        return Err(invalid("the path doesn't begin with a slash"));
    }
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|_| invalid("the path isn't one of http"))?;
    let bare_path = path.split_once('?').map_or(path, |(bare_path, _)| bare_path);
    if url.path() != bare_path || url.fragment().is_some() {
        return Err(invalid("the path isn't in normal form"));
    }
    Ok(url)
}

/// Whether a truncated body can be detected. A body delimited only by the end of its connection
/// looks the same when truncated.
fn is_framed(response: &Response, method: &str) -> bool {
    let status = response.status().as_u16();
    let bodiless = method == "HEAD" || matches!(status, 204 | 304);
    let headers = response.headers();
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn header_map(response: &Response) -> Headers {
    let entries = response.headers().iter();
    entries
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?)))
        .map(|(name, value)| (name, value.to_owned()))
        .collect()
}
