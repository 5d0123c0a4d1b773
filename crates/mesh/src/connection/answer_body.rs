//! Bodies of answers: whole in memory, or passed on from a link as they come.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep};

use super::link_pool::BusyLink;
use crate::request::InFlight;

/// An answer.
pub type AnswerResponse = Response<AnswerBody>;

/// Why an answer ended early. The server breaks the connection off, so that it is never taken
/// for whole.
#[derive(Debug)]
pub enum BodyError {
    /// The link broke.
    Broken(hyper::Error),
    /// The deadline passed.
    Late,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the link broke: {error}"),
            Self::Late => f.write_str("the deadline passed"),
        }
    }
}

impl std::error::Error for BodyError {}

/// A body that comes over a link; the link returns to its pool once the body has ended.
pub struct LinkBody {
    inner: Incoming,
    link: Option<BusyLink>,
    deadline: Instant,
    sleep: Option<Pin<Box<Sleep>>>,
    in_flight: Option<InFlight>,
}

impl LinkBody {
    /// Passes a body on until a deadline.
    pub fn new(inner: Incoming, link: BusyLink, deadline: Instant) -> Self {
        let mut body = Self { inner, link: Some(link), deadline, sleep: None, in_flight: None };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    fn finish(&mut self) {
        if let Some(link) = self.link.take() {
            link.finish();
        }
    }

    fn poll_late(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        sleep.as_mut().poll(cx).is_ready()
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// Whole.
    Whole(Option<Bytes>, Option<InFlight>),
    /// Passed on from a link.
    Link(LinkBody),
}

impl AnswerBody {
    /// A body in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()), None)
    }

    /// Counts the request as in flight until the body has ended.
    pub fn hold(&mut self, guard: InFlight) {
        match self {
            Self::Whole(_, held) => *held = Some(guard),
            Self::Link(body) => body.in_flight = Some(guard),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = match self.get_mut() {
            Self::Whole(bytes, _) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Self::Link(body) => body,
        };
        match Pin::new(&mut body.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if body.inner.is_end_stream() {
                    body.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                body.link = None;
                Poll::Ready(Some(Err(BodyError::Broken(error))))
            }
            Poll::Ready(None) => {
                body.finish();
                Poll::Ready(None)
            }
            Poll::Pending if body.poll_late(cx) => Poll::Ready(Some(Err(BodyError::Late))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes, _) => bytes.is_none(),
            Self::Link(body) => body.inner.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Link(body) => body.inner.size_hint(),
        }
    }
}
