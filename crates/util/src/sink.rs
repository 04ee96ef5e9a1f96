//! Non-blocking log output to standard output.
//!
//! A bounded buffer holds log lines until [`flush`] writes as many bytes as the reader accepts.
//! Lines that don't fit are dropped and counted; the count is logged once the buffer is empty.

use std::io;
use std::io::Write;

use nix::errno::Errno;
use nix::fcntl::fcntl;
use nix::fcntl::FcntlArg;
use nix::fcntl::OFlag;
use parking_lot::Mutex;

use crate::events;
use crate::events::Event;

/// Maximum number of buffered bytes.
const MAX_BUFFERED: usize = 256 << 10;

struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

static BUFFER: Mutex<Buffer> = Mutex::new(Buffer { bytes: Vec::new(), dropped: 0 });

/// Appends log lines to the buffer.
pub(crate) struct Sink;

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = BUFFER.lock();
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Makes standard output non-blocking, so that writes don't wait for its reader.
///
/// # Errors
///
/// Fails when the flags of the file descriptor can't be changed.
pub fn set_nonblocking() -> io::Result<()> {
    let stdout = io::stdout();
    let flags = OFlag::from_bits_truncate(fcntl(&stdout, FcntlArg::F_GETFL)?);
    fcntl(&stdout, FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
    Ok(())
}

/// Writes as many buffered bytes as the reader accepts without blocking.
pub fn flush() {
    let mut buffer = BUFFER.lock();
    while !buffer.bytes.is_empty() {
        match nix::unistd::write(io::stdout(), &buffer.bytes) {
            Ok(written) => drop(buffer.bytes.drain(..written)),
            Err(Errno::EINTR) => {}
            // The pipe is full or closed: the buffer keeps the oldest lines, new ones are dropped.
            Err(_) => return,
        }
    }
    let dropped = std::mem::take(&mut buffer.dropped);
    drop(buffer);
    if dropped > 0 {
        events::log(Event::LinesDropped, format_args!("lines={dropped}"));
    }
}
