//! Requests that crash upstreams: what this node noticed, and what others told.

use std::sync::Arc;
use std::time::Instant;

use firspindle_core::request::SuspectHint;
use firspindle_edge::PlatformCodec;

use super::ControlState;

impl<C: PlatformCodec> ControlState<C> {
    /// An upstream of a life crashed while it ran a request; gives what others are to be told.
    pub fn note_crash(&mut self, content: u128, instance: u64, now: Instant) -> SuspectHint {
        Arc::make_mut(&mut self.suspects).note_crash(content, instance, now)
    }

    /// An upstream answered a suspected request.
    pub fn clear_suspect(&mut self, content: u128, now: Instant) {
        if Arc::make_mut(&mut self.suspects).clear(content, now) {
            log::info!(content:% = format_args!("{content:032x}"); "suspicion cleared");
        }
    }

    /// Takes what another node told; gives whether any of it was new.
    pub(super) fn learn_suspects(&mut self, hints: &[SuspectHint], now: Instant) -> bool {
        if hints.is_empty() {
            return false;
        }
        let book = Arc::make_mut(&mut self.suspects);
        hints.iter().filter(|hint| book.merge(hint, now)).count() > 0
    }

    pub(super) fn forget_suspects(&mut self, now: Instant) {
        if !self.suspects.is_empty() {
            Arc::make_mut(&mut self.suspects).remove_expired(now);
        }
    }

    /// Whether every other node that is heard has shown that it knows of a suspicion.
    pub fn all_know(&self, hint: &SuspectHint, now: Instant) -> bool {
        let window = self.hear_window();
        let heard = self.others().filter(|row| self.peers.heard_within(&row.host, window, now));
        heard
            .filter_map(|row| self.peers.get(&row.host))
            .all(|peer| peer.suspects.iter().any(|known| hint.is_known_by(known)))
    }
}
