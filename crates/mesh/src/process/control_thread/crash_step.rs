//! Tells the other nodes of requests that were in flight when an upstream crashed.

use std::time::{Duration, Instant};

use firspindle_core::request::{SuspectHint, hash_instance};
use firspindle_core::version::UpstreamInstance;
use firspindle_edge::{PlatformCodec, StateStore};
use tokio::sync::oneshot;

use super::ControlThread;
use crate::process::ControlEvent;

/// Time within which the other nodes are to acknowledge a crash. Acknowledgements take one round
/// trip.
const CRASH_NOTICE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which crashes are gathered before the other nodes are notified of all of them.
const CRASH_GATHER_TIME: Duration = Duration::from_millis(10);

/// A crash that was announced to the other nodes, and the request that waits for their
/// acknowledgements.
pub(super) struct CrashNotice {
    hint: SuspectHint,
    /// When the wait ends, even without all acknowledgements.
    until: Instant,
    ack: oneshot::Sender<()>,
}

/// Completes at a time, or never without one.
pub(super) async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl<C: PlatformCodec, S: StateStore> ControlThread<C, S> {
    /// Handles an event that tells of a crash, or of what an upstream outlived.
    pub(super) fn handle_crash_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Crash { fingerprint, instance, ack } => {
                self.note_crash(fingerprint, instance, ack);
            }
            ControlEvent::CrashAfter(instance, fingerprints) => {
                self.note_crash_after(&fingerprints, &instance);
            }
            ControlEvent::EndedBeforeCrash(instance, fingerprints) => {
                self.note_ended_before_crash(&fingerprints, &instance);
            }
            ControlEvent::EndedOutlived(fingerprints) => {
                self.state.clear_ended(&fingerprints, self.clock.now());
                self.publish();
            }
            ControlEvent::SuspectOutlived(fingerprint) => {
                self.state.clear_suspect(fingerprint, self.clock.now());
                self.publish();
            }
            _ => unreachable!("an event of another kind"),
        }
    }

    /// Notes a request that was in flight when an upstream crashed. The other nodes are notified a little
    /// later, as an upstream mostly runs several.
    fn note_crash(&mut self, fingerprint: u128, instance: u64, ack: oneshot::Sender<()>) {
        let now = self.clock.now();
        let hint = self.state.note_crash(fingerprint, instance, now);
        self.publish();
        self.notices.push(CrashNotice { hint, until: now + CRASH_NOTICE_TIMEOUT, ack });
        self.crashes_due_at.get_or_insert(tokio::time::Instant::now() + CRASH_GATHER_TIME);
    }

    /// Notes requests that an upstream had answered shortly before it crashed, or that were abandoned there.
    fn note_crash_after(&mut self, fingerprints: &[u128], instance: &UpstreamInstance) {
        let (life, born_ms, requests) = (&*instance.id, instance.born_ms, fingerprints.len());
        log::warn!(life, born_ms, requests; "upstream crashed after requests had ended");
        let now = self.clock.now();
        self.state.note_crash_after(fingerprints, hash_instance(instance), now);
        self.publish();
        let actions = self.state.gossip_round(now);
        self.execute(actions);
    }

    /// Notes requests that had ended within the last seconds before an instance of the upstream crashed.
    fn note_ended_before_crash(&mut self, fingerprints: &[u128], instance: &UpstreamInstance) {
        let (life, born_ms, requests) = (&*instance.id, instance.born_ms, fingerprints.len());
        log::info!(life, born_ms, requests; "requests had ended in the seconds before a crash");
        let now = self.clock.now();
        self.state.note_ended_before_crash(fingerprints, hash_instance(instance), now);
        self.publish();
        let actions = self.state.gossip_round(now);
        self.execute(actions);
    }

    /// Notifies all other nodes of the crashes that were noted.
    pub(super) fn send_crashes(&mut self) {
        self.crashes_due_at = None;
        let now = self.clock.now();
        let actions = self.state.crash_questions(now);
        self.execute(actions);
        self.finish_notices();
    }

    /// Signals the waiters of crashes that all nodes have acknowledged or whose time is up.
    pub(super) fn finish_notices(&mut self) {
        let now = self.clock.now();
        let state = &self.state;
        let done =
            |row: &mut CrashNotice| now >= row.until || state.all_acknowledged(&row.hint, now);
        let rows: Vec<_> = self.notices.extract_if(.., done).collect();
        for row in rows {
            self.state.forget_crash(&row.hint);
            let _ = row.ack.send(());
        }
    }
}
