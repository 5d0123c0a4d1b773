//! Response bodies: buffered in memory, or streamed from another connection as they arrive.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use prometheus::IntCounter;
use tokio::time::{Instant, Sleep};

use super::connection_pool::PooledConnection;
use super::{LinkPacer, LinkReservation, PacedTransfer};
use crate::request::{AnswerWatch, InFlightGuard};

/// A response to a caller or another node.
pub type ProxyResponse = Response<ProxyBody>;

/// Why a body ended early. The server then aborts the connection, so that the response is never
/// taken for complete.
#[derive(Debug)]
pub enum BodyError {
    /// The connection that the body arrives on broke.
    Broken(hyper::Error),
    /// The request's deadline passed.
    DeadlineExceeded,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => {
                write!(f, "connection broke while its body was streamed: {error}")
            }
            Self::DeadlineExceeded => {
                f.write_str("request deadline passed while the body was streamed")
            }
        }
    }
}

impl std::error::Error for BodyError {}

/// A body streamed from a pooled connection, which returns to its pool once the body has ended.
pub struct StreamedBody {
    inner: Incoming,
    connection: Option<PooledConnection>,
    deadline: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    in_flight: Option<InFlightGuard>,
    /// Counts the bytes that arrive from another node.
    counter: Option<IntCounter>,
    /// Told how an answer of the upstream ends.
    watch: Option<Box<AnswerWatch>>,
    /// Set where the body leaves over the host's link.
    transfer: Option<PacedTransfer>,
}

impl StreamedBody {
    /// Streams a body until a deadline. A `connection` is used again once the body has ended.
    pub fn new(inner: Incoming, connection: Option<PooledConnection>, deadline: Instant) -> Self {
        let mut body = Self {
            inner,
            connection,
            deadline,
            sleep: None,
            in_flight: None,
            counter: None,
            watch: None,
            transfer: None,
        };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    /// Counts the bytes of the body as they arrive.
    #[must_use]
    pub fn count_with(mut self, counter: IntCounter) -> Self {
        self.counter = Some(counter);
        self
    }

    /// Tells a watch how the body ends, unless it is dropped before.
    #[must_use]
    pub(crate) fn watch_with(mut self, watch: Option<AnswerWatch>) -> Self {
        self.watch = watch.map(Box::new);
        if self.inner.is_end_stream() {
            self.finish();
        }
        self
    }

    fn finish(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.complete();
        }
        if let Some(connection) = self.connection.take() {
            connection.finish();
        }
    }

    fn is_end_stream(&self) -> bool {
        let all_handed_over = self.transfer.as_ref().is_none_or(PacedTransfer::is_empty);
        all_handed_over && self.inner.is_end_stream()
    }

    /// Returns the next frame that was received.
    fn poll_received(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(counter), Some(data)) = (&self.counter, frame.data_ref()) {
                    counter.inc_by(data.len() as u64);
                }
                if self.inner.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.connection = None;
                if let Some(watch) = self.watch.take() {
                    watch.broken();
                }
                Poll::Ready(Some(Err(BodyError::Broken(error))))
            }
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    /// Returns the next frame that may be passed on.
    fn poll_passed_on(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            if let Some(transfer) = self.transfer.as_mut().filter(|transfer| !transfer.is_empty()) {
                return transfer.poll_part(cx).map(|part| Some(Ok(Frame::data(part))));
            }
            let frame = match self.poll_received(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                other => return other,
            };
            match (&mut self.transfer, frame.into_data()) {
                (Some(transfer), Ok(data)) if !data.is_empty() => transfer.hold(data),
                (_, Ok(data)) => return Poll::Ready(Some(Ok(Frame::data(data)))),
                (_, Err(frame)) => return Poll::Ready(Some(Ok(frame))),
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.transfer.as_ref().map_or(0, PacedTransfer::held_bytes);
        let received = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(received.lower() + held);
        if let Some(upper) = received.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        sleep.as_mut().poll(cx).is_ready()
    }
}

/// Body of a response.
pub enum ProxyBody {
    /// In memory, with the guard of its request.
    Buffered(Option<Bytes>, Option<InFlightGuard>),
    /// Streamed from another connection.
    Streamed(Box<StreamedBody>),
}

impl ProxyBody {
    /// Creates a body in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()), None)
    }

    /// Makes the body leave over the host's link, no faster than the link carries it.
    pub fn pace(&mut self, pacer: &LinkPacer, mut reservation: LinkReservation) {
        match self {
            Self::Buffered(bytes, _) => pacer.charge(bytes.as_ref().map_or(0, Bytes::len)),
            Self::Streamed(body) => {
                let length = body.inner.size_hint().lower();
                reservation.resize(length);
                body.transfer = Some(PacedTransfer::new(pacer.clone(), reservation));
            }
        }
    }

    /// Keeps the request counted as in flight until the body is dropped.
    pub fn attach_guard(&mut self, guard: InFlightGuard) {
        match self {
            Self::Buffered(_, held_guard) => *held_guard = Some(guard),
            Self::Streamed(body) => body.in_flight = Some(guard),
        }
    }
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = match self.get_mut() {
            Self::Buffered(bytes, _) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Self::Streamed(body) => body,
        };
        match body.poll_passed_on(cx) {
            Poll::Pending if body.poll_deadline(cx) => {
                Poll::Ready(Some(Err(BodyError::DeadlineExceeded)))
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes, _) => bytes.is_none(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(body) => body.size_hint(),
        }
    }
}
