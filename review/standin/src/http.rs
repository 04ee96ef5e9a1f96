//! Reads and writes HTTP/1.1 messages on blocking connections.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// Start line, headers and the bytes that were read beyond them.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }
}

/// Connection with a buffer for what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut chunk = [0; 4096];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ended before one.
    pub fn read_head(&mut self) -> Option<Head> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill().ok()? {
                return None;
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some(Head { first, headers: headers.collect() })
    }

    /// Reads this many bytes; `None` if the connection ended before.
    pub fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill().ok()? {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the next chunk of a chunked body; empty at its end, `None` if it broke off.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let line = loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                break String::from_utf8_lossy(&line[..end]).into_owned();
            }
            if !self.fill().ok()? {
                return None;
            }
        };
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).ok()?;
        let mut bytes = self.read_bytes(size + 2)?;
        bytes.truncate(size);
        Some(bytes)
    }

    /// Reads the body that follows a head; `None` if it broke off.
    pub fn read_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Some(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        let length = head.header("content-length").and_then(|value| value.parse().ok());
        self.read_bytes(length.unwrap_or(0))
    }

    /// Returns whether the peer closed the connection. Waits up to the read timeout of the stream.
    pub fn is_closed(&mut self) -> bool {
        match self.fill() {
            Ok(is_open) => !is_open,
            Err(error) => !matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes a response with a body of known length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> bool {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// Returns a value of a query, with the escapes `%00` and `%2F` decoded.
pub fn query_value(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
    value.unwrap_or_default().replace("%00", "\0").replace("%2F", "/")
}
