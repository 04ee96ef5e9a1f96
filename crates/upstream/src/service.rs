//! Calls to plain services, sent at most once.
//!
//! Each call has a connection of its own and is never repeated by the library below. Only a failure
//! to connect says that the call didn't run; whatever goes wrong later leaves its outcome unknown.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::header::CONTENT_LENGTH;
use reqwest::header::TRANSFER_ENCODING;
use reqwest::Method;
use reqwest::Response;
use reqwest::Url;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::client::read_body;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::error::Wait;
use crate::generate::echo;
use crate::generate::REQUEST_ID;
use crate::headers;
use crate::headers::Headers;
use crate::Client;

/// A call to a plain service.
#[derive(Clone)]
pub struct Call {
    /// Id that the answer must echo, if it echoes any.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query, beginning with a slash; the path in normal form.
    pub path: String,
    /// The caller's headers; only the listed ones pass.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// Longest time to the end of the answer.
    pub timeout: Duration,
    /// The caller's key. A call that carries it anywhere isn't sent; empty means that there is
    /// none.
    pub secret: String,
}

impl Default for Call {
    fn default() -> Self {
        Call {
            id: String::new(),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Headers::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(10),
            secret: String::new(),
        }
    }
}

/// A whole answer of a plain service, whatever its status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Those headers that pass on to the caller.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Client {
    /// Makes a call on a new connection and sends it at most once.
    ///
    /// # Errors
    ///
    /// [`Outcome::NotRun`](crate::Outcome::NotRun) where no connection was made or the call can't
    /// be sent, else [`Outcome::Unknown`](crate::Outcome::Unknown).
    pub async fn call_once(&self, address: SocketAddr, call: Call) -> Result<Answer> {
        let deadline = Instant::now() + call.timeout;
        let request = self.service_request(address, &call)?;
        let response = match timeout_at(deadline, request.send()).await {
            Err(_) => return Err(Error::unknown(Kind::Timeout(Wait::First))),
            Ok(Err(error)) => return Err(Error::of_send(&error)),
            Ok(Ok(response)) => response,
        };
        match echo(&response) {
            Some(found) if found != call.id => {
                return Err(Error::unknown(Kind::Crossed { found: found.to_owned() }));
            }
            _ => {}
        }
        if !is_framed(&response, &call.method) {
            return Err(Error::unknown(Kind::Truncated));
        }
        let status = response.status().as_u16();
        let headers = headers::for_caller(&all_headers(&response));
        let body = timeout_at(deadline, read_body(response, self.settings.body_bytes)).await;
        let body = body.map_err(|_| Error::unknown(Kind::Timeout(Wait::Body)))??;
        Ok(Answer { status, headers, body })
    }

    fn service_request(&self, address: SocketAddr, call: &Call) -> Result<reqwest::RequestBuilder> {
        let invalid = |text: &str| Error::not_run(Kind::Invalid(text.to_owned()));
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| invalid("the method isn't one of http"))?;
        let url = url(address, &call.path)?;
        let passed = headers::for_upstream(&call.headers);
        if call.carries_secret(&passed) {
            return Err(invalid("it carries the caller's key, take it out"));
        }
        let mut request = self.once.request(method, url).header(REQUEST_ID, &call.id);
        for (name, value) in passed {
            request = request.header(name, value);
        }
        if call.body.is_empty() {
            return Ok(request);
        }
        Ok(request.body(call.body.clone()))
    }
}

impl Call {
    fn carries_secret(&self, passed: &Headers) -> bool {
        let texts = [self.id.as_bytes(), self.path.as_bytes(), &self.body];
        let values = passed.values().map(String::as_bytes);
        texts.into_iter().chain(values).any(|text| headers::holds(text, &self.secret))
    }
}

/// The address of a call. Its path must be in normal form: one with `..` in it would reach another
/// place than the one for which the caller was let through.
fn url(address: SocketAddr, path: &str) -> Result<Url> {
    let invalid = |text: &str| Error::not_run(Kind::Invalid(text.to_owned()));
    if !path.starts_with('/') {
        return Err(invalid("the path doesn't begin with a slash"));
    }
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|_| invalid("the path isn't one of http"))?;
    let bare = path.split_once('?').map_or(path, |(bare, _)| bare);
    if url.path() != bare || url.fragment().is_some() {
        return Err(invalid("the path isn't in normal form"));
    }
    Ok(url)
}

/// Whether a cut of the answer's body would show; a body that just ends with its connection can't
/// be told from half of one.
fn is_framed(response: &Response, method: &str) -> bool {
    let status = response.status().as_u16();
    let bodiless = method == "HEAD" || matches!(status, 204 | 304);
    let headers = response.headers();
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn all_headers(response: &Response) -> Headers {
    let texts = response.headers().iter();
    texts
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?)))
        .map(|(name, value)| (name, value.to_owned()))
        .collect()
}
