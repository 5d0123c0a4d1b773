//! Stream of a connection that this node opened.
//!
//! The limit on the time that sent bytes stay unacknowledged shows soon that the other side is silent.
//! But the system applies it also to one that acknowledges everything and reads nothing while its window
//! is closed. Small requests never fill a window, so a silent side is noticed by them; while a large body
//! is sent, the limit is longer than the deadline that ends the request.
//!
//! The HTTP library skips any number of interim heads in one go. What is read for one head is bounded, so that
//! other connections get their turns.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_pool::{UNACKED_TIMEOUT, UNREAD_TIMEOUT};

/// Bytes of a request that fit the window of any receiver.
const WINDOW_BYTES: usize = 32 * 1024;

/// Most bytes that are read until the head of an answer is whole, interim heads before it included. The beginning
/// of its body may be among them.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Most bytes of one read until then.
const HEAD_READ_BYTES: usize = 8 * 1024;

/// Bytes that may still be read until the head of an answer is whole; unlimited while none is awaited.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Begins to count, as a request is sent.
    pub(super) fn begin(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit, as the head has arrived.
    pub(super) fn end(&self) {
        self.0.set(None);
    }

    /// Reads within the limit.
    fn poll_read(
        &self,
        stream: Pin<&mut TcpStream>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let Some(left) = self.0.get() else { return stream.poll_read(cx, buffer) };
        if left == 0 {
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, "no head of an answer")));
        }
        // Before the buffer is initialized for nothing.
        ready!(stream.poll_read_ready(cx))?;
        let length = left.min(HEAD_READ_BYTES).min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = stream.poll_read(cx, &mut part);
        let length = part.filled().len();
        buffer.advance(length);
        self.0.set(Some(left - length));
        read
    }
}

/// Stream of a connection that this node opened.
pub(super) struct OutboundStream {
    stream: TcpStream,
    /// Bytes written since the last read, or of a request so far.
    written: usize,
    /// Whether what was sent may stay unread.
    patient: bool,
    head_limit: HeadLimit,
    remote_end: RemoteEnd,
}

/// When the other side last ended a connection: until then it lived, as the system ends all connections of a
/// process at its end.
#[derive(Debug, Clone, Default)]
pub(crate) struct RemoteEnd(Rc<Cell<Option<Instant>>>);

impl RemoteEnd {
    /// Returns the time at which the last such end was seen.
    pub(crate) fn seen_at(&self) -> Option<Instant> {
        self.0.get()
    }
}

impl OutboundStream {
    pub(super) const fn new(
        stream: TcpStream,
        head_limit: HeadLimit,
        remote_end: RemoteEnd,
    ) -> Self {
        Self { stream, written: 0, patient: false, head_limit, remote_end }
    }

    fn set_patient(&mut self, patient: bool) {
        if self.patient == patient {
            return;
        }
        self.patient = patient;
        let timeout = if patient { UNREAD_TIMEOUT } else { UNACKED_TIMEOUT };
        self.set_timeout(timeout);
    }

    fn set_timeout(&self, timeout: Duration) {
        if let Err(error) = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout)) {
            log::warn!(error:%; "socket options not set");
        }
    }

    fn note_write(&mut self, written: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.written += bytes;
            self.set_patient(self.written > WINDOW_BYTES);
        }
    }
}

impl AsyncRead for OutboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let head_limit = self.head_limit.clone();
        let read = head_limit.poll_read(Pin::new(&mut self.stream), cx, buffer);
        if buffer.filled().len() > before {
            // The next write begins another request.
            self.written = 0;
        } else if read.is_ready() && buffer.remaining() > 0 {
            self.remote_end.0.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for OutboundStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
