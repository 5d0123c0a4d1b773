//! Response bodies: buffered in memory, or streamed from another connection as they arrive.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use super::connection_pool::PooledConnection;
use crate::request::InFlightGuard;

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
}

impl StreamedBody {
    /// Streams a body until a deadline.
    pub fn new(inner: Incoming, connection: PooledConnection, deadline: Instant) -> Self {
        let mut body =
            Self { inner, connection: Some(connection), deadline, sleep: None, in_flight: None };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.finish();
        }
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
    Streamed(StreamedBody),
}

impl ProxyBody {
    /// Creates a body in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()), None)
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
        match Pin::new(&mut body.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if body.inner.is_end_stream() {
                    body.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                body.connection = None;
                Poll::Ready(Some(Err(BodyError::Broken(error))))
            }
            Poll::Ready(None) => {
                body.finish();
                Poll::Ready(None)
            }
            Poll::Pending if body.poll_deadline(cx) => {
                Poll::Ready(Some(Err(BodyError::DeadlineExceeded)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes, _) => bytes.is_none(),
            Self::Streamed(body) => body.inner.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(body) => body.inner.size_hint(),
        }
    }
}
