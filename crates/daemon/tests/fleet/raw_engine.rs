//! Engine whose tests specify the bytes of its responses and how its connections end.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fixture::Fixture;

/// Bytes of a flood that are written at once.
const FLOOD_BYTES: usize = 65_536;

/// Request that an engine received.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Number of its connection, in the order in which they were accepted.
    pub connection: usize,
    /// Number of requests that arrived on this connection before.
    pub nth: usize,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Identifier; empty if it has none.
    pub id: String,
    /// Request line and headers.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Part of the reaction to a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes bytes.
    Send(Vec<u8>),
    /// Writes the same bytes again and again until the connection ends.
    Flood(&'static [u8]),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

type Respond = dyn Fn(&RawRequest) -> Vec<Step> + Send + Sync;

/// Engine that a test controls.
#[derive(Clone)]
pub struct RawEngine {
    received: Arc<Mutex<Vec<RawRequest>>>,
}

impl RawEngine {
    /// Starts an engine with these models and writes its entry.
    pub async fn start(
        fixture: &Fixture,
        id: &str,
        service: &str,
        models: &[&str],
        respond: impl Fn(&RawRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> RawEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let engine = RawEngine { received: Arc::default() };
        fixture.store.put("servers", id, entry(service, address, models).to_string().as_bytes());
        let (running, respond): (_, Arc<Respond>) = (engine.clone(), Arc::new(respond));
        tokio::spawn(async move {
            let mut count = 0;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(running.clone().serve(stream, count, Arc::clone(&respond)));
                count += 1;
            }
        });
        engine
    }

    /// Returns the requests, orders and reports received so far.
    pub fn received(&self) -> Vec<RawRequest> {
        self.received.lock().clone()
    }

    async fn serve(
        self,
        stream: TcpStream,
        connection: usize,
        respond: Arc<Respond>,
    ) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        for nth in 0.. {
            let request = loop {
                if let Some((request, length)) = parse(&bytes, connection, nth) {
                    bytes.drain(..length);
                    break request;
                }
                if !read_some(&stream, &mut bytes).await? {
                    return Ok(());
                }
            };
            let steps = respond(&request);
            self.received.lock().push(request);
            for step in steps {
                match step {
                    Step::Send(bytes) => write_all(&stream, &bytes).await?,
                    Step::Flood(piece) => {
                        let pieces = piece.repeat(FLOOD_BYTES.div_ceil(piece.len()));
                        loop {
                            write_all(&stream, &pieces).await?;
                        }
                    }
                    Step::Pause(span) => sleep(span).await,
                    Step::Close => return Ok(()),
                    Step::Reset => return stream.set_zero_linger(),
                }
            }
        }
        Ok(())
    }
}

/// Returns the entry of an engine in the store.
pub fn entry(service: &str, address: SocketAddr, models: &[&str]) -> Value {
    let models: Vec<Value> =
        models.iter().map(|model| json!({"name": model, "version": 1, "adapters": []})).collect();
    json!({
        "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 40, "born": 1, "models": models,
        "at_hand": {"in_memory": [], "on_disk": ["m1", "m2"]},
    })
}

/// Returns the bytes of a response with an identifier and further header lines.
pub fn response(status: u16, id: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    if !id.is_empty() {
        text += &format!("corianderyoke-attempt-id: {id}\r\n");
    }
    for header in headers {
        text += &format!("{header}\r\n");
    }
    format!("{text}\r\n{body}").into_bytes()
}

/// Header line of a complete response.
pub const SEAL: &str = "corianderyoke-response-seal: seal";
/// Header line of a refusal.
pub const NOT_EXECUTED: &str = "corianderyoke-not-executed: 1";

/// Returns the bytes of a signed response with status 200.
pub fn answer(id: &str, body: &str) -> Vec<u8> {
    response(200, id, &[SEAL], body)
}

/// Returns the bytes of a refusal that states that the request wasn't executed.
pub fn refusal(id: &str) -> Vec<u8> {
    response(503, id, &[NOT_EXECUTED], "full")
}

/// Returns the first request in `bytes` and its length, if it is complete.
fn parse(bytes: &[u8], connection: usize, nth: usize) -> Option<(RawRequest, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length = value("content-length:").map_or(0, |text| text.parse().expect("a number"));
    let body = bytes.get(end..end + length)?.to_vec();
    let mut words = head.split(' ').map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let id = value("corianderyoke-attempt-id:").unwrap_or_default().to_owned();
    Some((RawRequest { connection, nth, method, path, id, head, body }, end + length))
}

/// Reads what has arrived. Returns false at the end of the connection.
async fn read_some(stream: &TcpStream, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut buffer = [0; 4_096];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut buffer) {
            Ok(length) => {
                bytes.extend_from_slice(&buffer[..length]);
                return Ok(length > 0);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes all bytes.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
