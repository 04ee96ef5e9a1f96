//! Incremental decoder of server-sent events.
//!
//! Bytes go in as they come, split anywhere; the `data` of whole events comes out. Lines end with
//! LF, CR or CRLF. Comments and other fields are skipped. An event that isn't ended by a blank line
//! is never handed out.

/// Errors of decoding.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A line or an event's data is longer than allowed.
    #[error("a line or event exceeds {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The data isn't UTF-8.
    #[error("the data of an event isn't utf-8")]
    Encoding,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// State of the decoder.
#[derive(Clone, Debug)]
pub struct Decoder {
    limit: usize,
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    after_cr: bool,
}

impl Decoder {
    /// A decoder that takes lines and events up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Decoder { limit, line: Vec::new(), data: Vec::new(), has_data: false, after_cr: false }
    }

    /// Takes bytes and appends the data of the events that they end to `events`.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<String>) -> Result<()> {
        for &byte in bytes {
            let after_cr = std::mem::take(&mut self.after_cr);
            match byte {
                b'\n' if after_cr => {}
                b'\n' => self.end_line(events)?,
                b'\r' => {
                    self.after_cr = true;
                    self.end_line(events)?;
                }
                _ => self.put(byte)?,
            }
        }
        Ok(())
    }

    fn put(&mut self, byte: u8) -> Result<()> {
        if self.line.len() >= self.limit {
            return Err(Error::TooLong { limit: self.limit });
        }
        self.line.push(byte);
        Ok(())
    }

    fn end_line(&mut self, events: &mut Vec<String>) -> Result<()> {
        if self.line.is_empty() {
            return self.end_event(events);
        }
        let line = std::mem::take(&mut self.line);
        let value = line.strip_prefix(b"data").and_then(|rest| match rest {
            [] => Some(rest),
            [b':', b' ', value @ ..] => Some(value),
            [b':', value @ ..] => Some(value),
            _ => None,
        });
        let Some(value) = value else {
            return Ok(());
        };
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        if self.data.len() + value.len() > self.limit {
            return Err(Error::TooLong { limit: self.limit });
        }
        self.data.extend_from_slice(value);
        Ok(())
    }

    fn end_event(&mut self, events: &mut Vec<String>) -> Result<()> {
        if !std::mem::take(&mut self.has_data) {
            return Ok(());
        }
        let data = std::mem::take(&mut self.data);
        events.push(String::from_utf8(data).map_err(|_| Error::Encoding)?);
        Ok(())
    }
}
