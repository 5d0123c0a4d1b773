//! Requests that are suspected of crashing upstreams, as noticed here or reported by other nodes.

use std::sync::Arc;
use std::time::Instant;

use firspindle_core::request::SuspectHint;
use firspindle_core::version::HostRecord;
use firspindle_edge::PlatformCodec;

use super::ControlState;

impl<C: PlatformCodec> ControlState<C> {
    /// Notes that an upstream crashed while it ran a request; returns the hint for the other nodes.
    pub fn note_crash(&mut self, fingerprint: u128, instance: u64, now: Instant) -> SuspectHint {
        Arc::make_mut(&mut self.suspects).note_crash(fingerprint, instance, now)
    }

    /// Clears the suspicion of a request that an upstream answered.
    pub fn clear_suspect(&mut self, fingerprint: u128, now: Instant) {
        if Arc::make_mut(&mut self.suspects).clear(fingerprint, now) {
            log::info!(fingerprint:% = format_args!("{fingerprint:032x}"); "suspected request cleared");
        }
    }

    /// Merges the suspects that another node reported; returns whether any of them were new.
    pub(super) fn merge_suspects(&mut self, hints: &[SuspectHint], now: Instant) -> bool {
        if hints.is_empty() {
            return false;
        }
        let tracker = Arc::make_mut(&mut self.suspects);
        hints.iter().filter(|hint| tracker.merge(hint, now)).count() > 0
    }

    pub(super) fn expire_suspects(&mut self, now: Instant) {
        if !self.suspects.is_empty() {
            Arc::make_mut(&mut self.suspects).expire(now);
        }
    }

    /// Whether every other node that is not silent showed in its newest datagram that it knows of a
    /// suspicion.
    pub fn all_acknowledged(&self, hint: &SuspectHint, now: Instant) -> bool {
        let knows = |row: &HostRecord| {
            let peer = self.peers.get(&row.host);
            peer.is_some_and(|peer| peer.suspects.iter().any(|known| hint.is_known_by(known)))
        };
        self.others().filter(|row| !self.asked.is_silent(&row.host, now)).all(knows)
    }
}
