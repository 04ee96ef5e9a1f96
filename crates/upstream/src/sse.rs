//! Incremental decoder of server-sent events.
//!
//! Takes bytes split at any position and returns the `data` of complete events. Lines end with LF,
//! CR or CRLF. Comments and other fields are skipped. An event without a terminating blank line is
//! never returned.

/// Decoding errors.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A line or an event's data exceeds the limit.
    #[error("a line or event exceeds {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The data isn't UTF-8.
    #[error("the data of an event isn't utf-8")]
    Encoding,
}

/// Result of decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// Decoder of one event stream.
#[derive(Clone, Debug)]
pub struct Decoder {
    limit: usize,
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    after_cr: bool,
}

impl Decoder {
    /// Creates a decoder for lines and event data of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Decoder { limit, line: Vec::new(), data: Vec::new(), has_data: false, after_cr: false }
    }

    /// Decodes bytes and appends the data of each completed event to `events`.
    ///
    /// # Errors
    ///
    /// Events completed before the fault are still appended.
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
                _ => self.push_byte(byte)?,
            }
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8) -> Result<()> {
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
