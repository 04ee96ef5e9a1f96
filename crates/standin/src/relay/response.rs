//! The latest HTTP response on one connection.

/// Maximum size of a response that is kept, in bytes.
const MAX_BYTES: usize = 64 * 1024;

/// Bytes of the latest response on a connection, and whether a request followed it.
#[derive(Debug, Default)]
pub(super) struct Latest {
    bytes: Vec<u8>,
    /// Whether the latest response is larger than [`MAX_BYTES`], so that it isn't kept.
    is_too_long: bool,
    has_request: bool,
}

impl Latest {
    /// Adds bytes of a response. The first ones after a request replace the previous response.
    pub fn add_response(&mut self, data: &[u8]) {
        if std::mem::take(&mut self.has_request) {
            self.bytes.clear();
            self.is_too_long = false;
        }
        self.is_too_long |= self.bytes.len() + data.len() > MAX_BYTES;
        if self.is_too_long {
            self.bytes.clear();
        } else {
            self.bytes.extend_from_slice(data);
        }
    }

    /// Records bytes of a request. Returns the previous response if a request begins with them.
    pub fn begin_request(&mut self) -> Option<Vec<u8>> {
        let previous = self.idle_response();
        self.has_request = true;
        previous
    }

    /// The latest response; `None` unless it is complete and no request followed.
    pub fn idle_response(&self) -> Option<Vec<u8>> {
        (!self.has_request && is_complete(&self.bytes)).then(|| self.bytes.clone())
    }
}

/// Whether `bytes` hold a response whose head tells where its body ends, and that end.
fn is_complete(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let (head, body) = (String::from_utf8_lossy(&bytes[..end]), &bytes[end + 4..]);
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.any(|(name, value)| match name.to_ascii_lowercase().as_str() {
        "content-length" => value.trim().parse() == Ok(body.len()),
        "transfer-encoding" => body.ends_with(b"0\r\n\r\n"),
        _ => false,
    })
}
