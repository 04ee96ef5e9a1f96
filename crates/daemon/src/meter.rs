//! Limits how many bytes a connection reads without progress.
//!
//! A peer may send bytes without end that never amount to a head or a piece of a body, for example
//! interim responses or the digits of a chunk's size. The HTTP library parses them as long as any
//! arrive, and all tasks of the process wait meanwhile.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Error of a connection that reads too many bytes without progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("read {0} bytes without progress")]
pub struct Flooded(usize);

/// Counts the bytes that a connection has read since its latest progress.
#[derive(Clone, Debug)]
pub struct Meter {
    count: Arc<AtomicUsize>,
    /// Most bytes without progress.
    limit: usize,
}

impl Meter {
    /// Creates the meter of a connection whose read buffer has `buffer_bytes`.
    pub fn new(buffer_bytes: usize) -> Self {
        // Bytes that are read together with those that make the progress count towards the next one.
        Meter { count: Arc::default(), limit: buffer_bytes.saturating_mul(2) }
    }

    /// Records that a head or a piece of a body is complete.
    pub fn record_progress(&self) {
        self.count.store(0, Ordering::Relaxed);
    }

    /// Returns whether the connection has read too many bytes without progress.
    pub fn is_flooded(&self) -> bool {
        self.count.load(Ordering::Relaxed) > self.limit
    }

    fn record_read(&self, length: usize) -> io::Result<()> {
        let count = self.count.fetch_add(length, Ordering::Relaxed).saturating_add(length);
        if count > self.limit {
            return Err(io::Error::other(Flooded(count)));
        }
        Ok(())
    }
}

/// Connection whose reads are metered.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Meter,
}

impl MeteredStream {
    /// Meters the reads of a connection.
    pub fn new(stream: TcpStream, meter: Meter) -> Self {
        MeteredStream { stream, meter }
    }

    /// Returns the connection.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.meter.record_read(buffer.filled().len() - before))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Body whose pieces count as progress of its connection.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: Meter,
}

impl MeteredBody {
    /// Creates the body of a message whose head is complete.
    pub fn new(body: Incoming, meter: Meter) -> Self {
        meter.record_progress();
        MeteredBody { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if matches!(&frame, Some(Ok(frame)) if frame.data_ref().is_some_and(|data| !data.is_empty()))
        {
            self.meter.record_progress();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
