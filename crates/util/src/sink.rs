//! Log lines on standard output that never hold the process up.
//!
//! Lines wait in a bounded buffer until [`flush`] writes what the reader takes. What doesn't fit
//! is dropped and counted, and the count is logged once there is room again.

use std::io;
use std::io::Write;

use nix::errno::Errno;
use nix::fcntl::fcntl;
use nix::fcntl::FcntlArg;
use nix::fcntl::OFlag;
use parking_lot::Mutex;

use crate::events;
use crate::events::Event;

/// Bytes that wait at most.
const MOST_WAITING: usize = 256 << 10;

struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

static WAITING: Mutex<Waiting> = Mutex::new(Waiting { bytes: Vec::new(), dropped: 0 });

/// Takes log lines into the buffer.
pub(crate) struct Sink;

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut waiting = WAITING.lock();
        if waiting.bytes.len() + bytes.len() > MOST_WAITING {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lets writes to standard output return instead of waiting for its reader.
///
/// # Errors
///
/// The system refuses to change the descriptor.
pub fn prepare() -> io::Result<()> {
    let stdout = io::stdout();
    let flags = OFlag::from_bits_truncate(fcntl(&stdout, FcntlArg::F_GETFL)?);
    fcntl(&stdout, FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK))?;
    Ok(())
}

/// Writes as many waiting lines as the reader takes now.
pub fn flush() {
    let mut waiting = WAITING.lock();
    while !waiting.bytes.is_empty() {
        match nix::unistd::write(io::stdout(), &waiting.bytes) {
            Ok(written) => drop(waiting.bytes.drain(..written)),
            Err(Errno::EINTR) => {}
            // Nobody reads now, or nobody will: the lines wait, and the oldest stay.
            Err(_) => return,
        }
    }
    let dropped = std::mem::take(&mut waiting.dropped);
    drop(waiting);
    if dropped > 0 {
        events::log(Event::LinesDropped, format_args!("lines={dropped}"));
    }
}
