//! Body of a request: in memory, or a large one that may still be at its sender.

use std::rc::Rc;

use bytes::Bytes;

use super::{HEAD_BYTES, TrafficContext};
use crate::connection::{BodyFault, OutboundBody, UploadBody};

/// Body of a request: in memory, or a large one that may still be at its sender.
#[derive(Debug, Clone)]
pub(crate) enum RequestBody {
    /// In memory.
    Whole(Bytes),
    /// At its sender, as far as it was not read.
    Upload(Rc<UploadBody>),
}

impl RequestBody {
    /// The body, if it is in memory.
    pub(crate) fn whole(&self) -> Option<Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes.clone()),
            Self::Upload(upload) => upload.whole(),
        }
    }

    /// Whether the request can still be sent: its body was not given away in part.
    pub(crate) fn is_available(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Upload(upload) => upload.is_available(),
        }
    }

    /// Length in bytes, as far as it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => u64::try_from(bytes.len()).ok(),
            Self::Upload(upload) => upload.length,
        }
    }

    /// The body for another node, which takes it at a rate in bytes a second.
    pub(super) fn outbound(&self, context: &TrafficContext, rate: Option<u64>) -> OutboundBody {
        context.link.charge(HEAD_BYTES);
        match (self, self.whole()) {
            (Self::Upload(upload), None) => {
                OutboundBody::passed_on(upload.clone(), &context.link, rate)
            }
            (_, bytes) => OutboundBody::paced(bytes.unwrap_or_default(), &context.link, rate),
        }
    }

    /// Ends the passing on of a body, also if it is not at its end; returns why it did not arrive whole,
    /// if that is known.
    pub(super) fn end_passing_on(&self) -> Option<BodyFault> {
        let Self::Upload(upload) = self else { return None };
        if upload.whole().is_none() {
            upload.abort();
        }
        upload.fault()
    }

    /// Reads a little of a body that was not read to its end, which closes its connection; returns
    /// whether there is one.
    pub(super) fn drain(&self) -> bool {
        match self {
            Self::Whole(_) => false,
            Self::Upload(upload) => upload.clone().drain(),
        }
    }
}
