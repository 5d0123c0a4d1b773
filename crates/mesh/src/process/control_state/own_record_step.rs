//! What the record of this node's host says of the process before, and of late writes.

use std::time::Instant;

use firspindle_core::version::{HostRecord, LogEpoch, LogPosition, UpstreamState};
use firspindle_edge::{PlatformCodec, TopicRecord};

use super::ControlState;

impl<C: PlatformCodec> ControlState<C> {
    /// Takes a higher incarnation than one that others know of this host: the clock may have been set back
    /// before this process started, and what it says would seem older.
    pub(super) fn outnumber_incarnation(&mut self, known: u64) {
        if known > self.incarnation {
            log::warn!(from = self.incarnation, known; "an earlier process has a higher incarnation");
            self.incarnation = known + 1;
            self.own.incarnation = self.incarnation;
        }
    }

    /// After a restart, adopts the upstream that the previous process recorded and counts its last
    /// heartbeat as received at the start, so that no cell moves before the next one is due. One that
    /// drains was acknowledged before the start, nobody knows when, so it gets no more requests.
    pub(super) fn adopt_own_record(&mut self, record: &HostRecord, now: Instant) {
        self.outnumber_incarnation(record.incarnation);
        let is_earlier =
            record.incarnation < self.incarnation && record.service == self.settings.service;
        let recorded = record.upstream.as_ref().filter(|_| is_earlier);
        let Some(recorded) = recorded else { return };
        if self.own.upstream.is_none() {
            self.own.upstream = Some(recorded.clone());
            self.last_heartbeat_at = Some(self.started_at);
            self.apply_early_leave(now);
        }
        let current = self.own.upstream.as_ref().map(|row| &row.instance);
        if recorded.state == UpstreamState::Draining && current == Some(&recorded.instance) {
            self.close_upstream(recorded.instance.clone(), None);
        }
    }

    /// Notes a record of this host that took effect after the last one that this process wrote: an append
    /// without an answer may be late. It is written over then.
    pub(super) fn note_own_record(&mut self, row: &TopicRecord, epoch: LogEpoch) {
        let is_later = LogPosition::new(epoch, row.offset) >= self.own_written_end;
        if !is_later || self.own_written.is_none() || *row.key != *self.settings.host {
            return;
        }
        self.own_written = HostRecord::decode(&row.value);
        self.own_written_end = LogPosition::new(epoch, row.offset + 1);
    }
}
