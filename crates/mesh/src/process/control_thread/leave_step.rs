//! Acknowledges leaves of the upstream once the store has them.
//!
//! A process that starts again reads the record of its host, and with it that the upstream leaves. What
//! only memory holds is acknowledged to nobody: the process may be killed right after the answer, and all
//! others with it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use firspindle_core::connection::ReportRefusal;
use firspindle_edge::{PlatformCodec, StateStore};
use tokio::sync::oneshot;

use super::ControlThread;

/// Time after which a leave that the store does not have is refused; upstreams ignore answers after one
/// second.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(900);

/// The answer to a leave.
pub(super) enum LeaveAnswer {
    /// To the announcement of the leave.
    Leave(oneshot::Sender<()>),
    /// To a report that says that the upstream drains, with its body.
    Report(Bytes, oneshot::Sender<Result<Bytes, ReportRefusal>>),
}

/// A leave that waits until the store has it.
pub(super) struct PendingLeave {
    id: Box<str>,
    until: Instant,
    answer: LeaveAnswer,
}

impl<C: PlatformCodec, S: StateStore> ControlThread<C, S> {
    /// Has a leave of the upstream with this id answered by [`Self::answer_leaves`].
    pub(super) fn await_record(&mut self, id: Box<str>, answer: LeaveAnswer) {
        let until = self.clock.now() + LEAVE_TIMEOUT;
        self.pending_leaves.push(PendingLeave { id, until, answer });
    }

    /// Acknowledges the leaves that the store has, and drops those that have waited too long.
    pub(super) fn answer_leaves(&mut self) {
        if self.pending_leaves.is_empty() {
            return;
        }
        let now = self.clock.now();
        for row in std::mem::take(&mut self.pending_leaves) {
            if self.state.is_leave_recorded(&row.id) {
                match row.answer {
                    LeaveAnswer::Leave(reply) => drop(reply.send(())),
                    LeaveAnswer::Report(body, reply) => drop(reply.send(Ok(body))),
                }
            } else if now < row.until {
                self.pending_leaves.push(row);
            } else {
                log::warn!(id = &*row.id; "leave not acknowledged, as the store does not have it");
            }
        }
    }
}
