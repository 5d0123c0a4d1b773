//! Bodies of requests to other nodes and to the upstream.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::send_pace::SendPace;
use super::{BodyFault, LinkPacer, PacedTransfer, UploadBody};

/// A body that is passed on as it arrives.
struct PassedUpload {
    upload: Rc<UploadBody>,
    /// Bytes that are still to be passed on, if the length is known.
    left: Option<u64>,
    ended: bool,
}

/// Body of a request to another node or to the upstream.
#[derive(Default)]
pub struct OutboundBody {
    /// Data that goes at once.
    whole: Bytes,
    /// Data that leaves over the host's link, no faster than the link carries it.
    transfer: Option<PacedTransfer>,
    upload: Option<PassedUpload>,
    /// Set if the receiver named the rate at which it takes the body.
    pace: Option<SendPace>,
}

impl OutboundBody {
    /// A body that goes at once.
    pub fn whole(bytes: Bytes) -> Self {
        Self { whole: bytes, ..Self::default() }
    }

    /// A body that leaves over the host's link, at the rate at which its receiver takes it.
    pub fn paced(bytes: Bytes, pacer: &LinkPacer, rate: Option<u64>) -> Self {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let mut transfer = PacedTransfer::new(pacer.clone(), pacer.reserve(length));
        transfer.hold(bytes);
        Self { transfer: Some(transfer), pace: rate.map(SendPace::new), ..Self::default() }
    }

    /// A body that leaves over the host's link as it arrives, at the rate at which its receiver takes
    /// it.
    pub fn passed_on(upload: Rc<UploadBody>, pacer: &LinkPacer, rate: Option<u64>) -> Self {
        let left = upload.length;
        let reservation = pacer.reserve(left.unwrap_or(0));
        Self {
            whole: Bytes::new(),
            transfer: Some(PacedTransfer::new(pacer.clone(), reservation)),
            upload: Some(PassedUpload { upload, left, ended: false }),
            pace: rate.map(SendPace::new),
        }
    }

    fn remaining(&self) -> u64 {
        let held = self.transfer.as_ref().map_or(0, PacedTransfer::held_bytes);
        held + u64::try_from(self.whole.len()).unwrap_or(u64::MAX)
    }

    /// Returns the next part that may leave over the host's link; `None` at the end.
    fn poll_transfer(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let Some(transfer) = &mut self.transfer else { return Poll::Ready(None) };
        if let Some(passed) = &mut self.upload
            && transfer.is_empty()
            && !passed.ended
        {
            match ready!(passed.upload.poll_data(cx)) {
                Some(Ok(data)) => transfer.hold(data),
                Some(Err(fault)) => return Poll::Ready(Some(Err(fault))),
                None => passed.ended = true,
            }
        }
        if transfer.is_empty() {
            return Poll::Ready(None);
        }
        if let Some(pace) = &mut self.pace {
            ready!(pace.poll_next(cx));
        }
        let part = ready!(transfer.poll_part(cx));
        if let Some(pace) = &mut self.pace {
            pace.sent(part.len());
        }
        if let Some(left) = self.upload.as_mut().and_then(|passed| passed.left.as_mut()) {
            *left = left.saturating_sub(u64::try_from(part.len()).unwrap_or(u64::MAX));
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let body = self.get_mut();
        if body.transfer.is_some() {
            return body.poll_transfer(cx);
        }
        let whole = std::mem::take(&mut body.whole);
        Poll::Ready((!whole.is_empty()).then(|| Ok(Frame::data(whole))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.upload {
            Some(passed) => (passed.ended || passed.left == Some(0)) && self.remaining() == 0,
            None => self.remaining() == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.upload {
            Some(PassedUpload { left: Some(left), .. }) => SizeHint::with_exact(*left),
            Some(_) => SizeHint::default(),
            None => SizeHint::with_exact(self.remaining()),
        }
    }
}
