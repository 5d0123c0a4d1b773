//! Bodies of requests to other nodes and to the upstream.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{LinkPacer, PacedTransfer};

/// Body of a request to another node or to the upstream.
#[derive(Default)]
pub struct OutboundBody {
    /// Data that goes at once.
    whole: Bytes,
    /// Data that leaves over the host's link, no faster than the link carries it.
    transfer: Option<PacedTransfer>,
}

impl OutboundBody {
    /// A body that goes at once.
    pub fn whole(bytes: Bytes) -> Self {
        Self { whole: bytes, transfer: None }
    }

    /// A body that leaves over the host's link.
    pub fn paced(bytes: Bytes, pacer: &LinkPacer) -> Self {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let mut transfer = PacedTransfer::new(pacer.clone(), pacer.reserve(length));
        transfer.hold(bytes);
        Self { whole: Bytes::new(), transfer: Some(transfer) }
    }

    fn remaining(&self) -> u64 {
        let held = self.transfer.as_ref().map_or(0, PacedTransfer::held_bytes);
        held + u64::try_from(self.whole.len()).unwrap_or(u64::MAX)
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        if let Some(transfer) = body.transfer.as_mut().filter(|transfer| !transfer.is_empty()) {
            return transfer.poll_part(cx).map(|part| Some(Ok(Frame::data(part))));
        }
        let whole = std::mem::take(&mut body.whole);
        Poll::Ready((!whole.is_empty()).then(|| Ok(Frame::data(whole))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining())
    }
}
