//! How far a request has got, and a record of it if its caller leaves before the response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use super::TrafficContext;
use super::traffic_context::elapsed_ms;

/// What a request waits for at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum RequestStage {
    /// The end of its body.
    #[default]
    Reading,
    /// An available owner.
    Choosing,
    /// Another node's response.
    Forwarded,
    /// The grant of its key.
    WaitingForGrant,
    /// Room for its body.
    Reserving,
    /// A slot of the upstream.
    Queued,
    /// The upstream's response.
    Sent,
}

impl RequestStage {
    /// Text of the stage in logs and in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Choosing => "choosing",
            Self::Forwarded => "forwarded",
            Self::WaitingForGrant => "waiting-for-grant",
            Self::Reserving => "reserving",
            Self::Queued => "queued",
            Self::Sent => "sent",
        }
    }
}

/// Id and stage of a request, shared by the steps that handle it.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    id: RefCell<Box<str>>,
    stage: Cell<RequestStage>,
}

impl RequestProgress {
    /// Sets the request's id once it is known.
    pub(crate) fn identify(&self, id: &str) {
        *self.id.borrow_mut() = id.into();
    }

    /// Whether an upstream or another node may have got the request.
    pub(crate) fn is_sent(&self) -> bool {
        matches!(self.stage.get(), RequestStage::Forwarded | RequestStage::Sent)
    }

    /// Notes what the request waits for from now on.
    pub(crate) fn enter(&self, stage: RequestStage) {
        self.stage.set(stage);
    }
}

/// Counts and logs a request that is dropped before its response, which happens when its caller or
/// the node that forwarded it closes the connection.
pub(super) struct AbandonGuard<'a> {
    context: &'a TrafficContext,
    /// `entry` or `owner`.
    role: &'static str,
    progress: Rc<RequestProgress>,
    arrived: Instant,
    answered: bool,
}

impl<'a> AbandonGuard<'a> {
    /// Guards a request that arrived now.
    pub(super) fn new(context: &'a TrafficContext, role: &'static str) -> Self {
        Self { context, role, progress: Rc::default(), arrived: Instant::now(), answered: false }
    }

    /// Returns the progress that the request's steps update.
    pub(super) fn progress(&self) -> Rc<RequestProgress> {
        self.progress.clone()
    }

    /// Notes that the request has a response.
    pub(super) fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let stage = self.progress.stage.get().as_str();
        self.context.shared.metrics.abandoned.with_label_values(&[self.role, stage]).inc();
        self.context.log_rate_limited(|left_out| {
            log::info!(
                request = &**self.progress.id.borrow(), role = self.role, stage,
                took_ms = elapsed_ms(self.arrived), left_out;
                "caller left"
            );
        });
    }
}
