//! Requests that are suspected of crashing upstreams, as noticed here or reported by other nodes.

use std::sync::Arc;
use std::time::Instant;

use firspindle_core::connection::GossipMessage;
use firspindle_core::request::{MAX_HINTS, SuspectHint, SuspectTracker};
use firspindle_edge::PlatformCodec;

use super::{ControlAction, ControlState};

/// A crash that this node announced, and the hosts that have shown that they know of it, sorted.
#[derive(Debug, Clone)]
pub(super) struct AnnouncedCrash {
    hint: SuspectHint,
    known_by: Vec<Box<str>>,
}

impl AnnouncedCrash {
    fn is_known_by(&self, host: &str) -> bool {
        self.known_by.binary_search_by(|known| (**known).cmp(host)).is_ok()
    }

    fn note_known_by(&mut self, host: &str) {
        if let Err(index) = self.known_by.binary_search_by(|known| (**known).cmp(host)) {
            self.known_by.insert(index, host.into());
        }
    }
}

/// Merges hints of another node; returns whether any of them were new.
fn merge_hints(tracker: &mut Arc<SuspectTracker>, hints: &[SuspectHint], now: Instant) -> bool {
    if hints.is_empty() {
        return false;
    }
    let tracker = Arc::make_mut(tracker);
    hints.iter().filter(|hint| tracker.merge(hint, now)).count() > 0
}

impl<C: PlatformCodec> ControlState<C> {
    /// Notes that an upstream crashed while it ran a request; returns the hint for the other nodes.
    pub fn note_crash(&mut self, fingerprint: u128, instance: u64, now: Instant) -> SuspectHint {
        let hint = Arc::make_mut(&mut self.suspects).note_crash(fingerprint, instance, now);
        self.announced.push(AnnouncedCrash { hint: hint.clone(), known_by: Vec::new() });
        hint
    }

    /// Returns the questions that announce the crashes to all other nodes, as many to each as it takes
    /// to name them all.
    pub fn crash_questions(&mut self, now: Instant) -> Vec<ControlAction> {
        let hosts = self.other_hosts();
        let named: Vec<_> = self.announced.iter().map(|row| row.hint.fingerprint).collect();
        let chunks = named.chunks(MAX_HINTS);
        chunks.flat_map(|chunk| self.questions_on(&hosts, chunk, now)).collect()
    }

    /// Forgets an announced crash.
    pub fn forget_crash(&mut self, hint: &SuspectHint) {
        self.announced.retain(|row| row.hint != *hint);
    }

    /// Returns the requests that a datagram to a host names first: these ones, or else those announced
    /// of which it has not shown that it knows, and those that its newest datagram named, which
    /// acknowledges them.
    pub(super) fn named_suspects(&self, host: &str, suspects: &[u128]) -> Vec<u128> {
        let unknown = self.announced.iter().filter(|row| !row.is_known_by(host)).take(MAX_HINTS);
        let echoed = self.peers.get(host).into_iter().flat_map(|peer| &peer.suspects);
        let echoed = echoed.take(MAX_HINTS).map(|hint| hint.fingerprint);
        let mut named: Vec<_> = match suspects {
            [] => unknown.map(|row| row.hint.fingerprint).collect(),
            suspects => suspects.to_vec(),
        };
        named.extend(echoed);
        named.sort_unstable();
        named.dedup();
        named
    }

    /// Notes which announced crashes a host has shown that it knows of.
    pub(super) fn note_known_suspects(&mut self, host: &str, hints: &[SuspectHint]) {
        for row in &mut self.announced {
            if hints.iter().any(|known| row.hint.is_known_by(known)) {
                row.note_known_by(host);
            }
        }
    }

    /// Notes that an upstream crashed shortly after it had answered these requests. Other nodes learn of them
    /// with the next datagrams; no request waits for that.
    pub fn note_crash_after(&mut self, fingerprints: &[u128], instance: u64, now: Instant) {
        let tracker = Arc::make_mut(&mut self.answered_suspects);
        for fingerprint in fingerprints {
            tracker.note_crash(*fingerprint, instance, now);
        }
    }

    /// Notes which requests had ended within the last seconds before an upstream crashed.
    pub fn note_ended_before_crash(&mut self, fingerprints: &[u128], instance: u64, now: Instant) {
        Arc::make_mut(&mut self.crash_sets).note_crash(instance, fingerprints, now);
    }

    /// Clears requests that an upstream outlived by seconds of the crashes before which they had ended.
    pub fn clear_ended(&mut self, fingerprints: &[u128], now: Instant) {
        let sets = Arc::make_mut(&mut self.crash_sets);
        for fingerprint in fingerprints {
            sets.clear(*fingerprint, now);
        }
    }

    /// Merges the crashes that another node told; returns whether anything was new.
    fn merge_crash_sets(&mut self, message: &GossipMessage, now: Instant) -> bool {
        if message.crash_sets.is_empty() && message.cleared_requests.is_empty() {
            return false;
        }
        let sets = Arc::make_mut(&mut self.crash_sets);
        let crashes = message.crash_sets.iter().filter(|set| sets.merge_crash(set, now)).count();
        let cleared = message.cleared_requests.iter();
        crashes + cleared.filter(|row| sets.merge_cleared(row, now)).count() > 0
    }

    /// Clears the suspicion of a request whose answer an upstream outlived.
    pub fn clear_suspect(&mut self, fingerprint: u128, now: Instant) {
        let of_running = Arc::make_mut(&mut self.suspects).clear(fingerprint, now);
        let of_answered = Arc::make_mut(&mut self.answered_suspects).clear(fingerprint, now);
        if of_running || of_answered {
            log::info!(fingerprint:% = format_args!("{fingerprint:032x}"); "suspected request cleared");
        }
    }

    /// Merges the suspects that another node reported; returns whether any of them were new.
    pub(super) fn merge_suspects(&mut self, message: &GossipMessage, now: Instant) -> bool {
        let answered = merge_hints(&mut self.answered_suspects, &message.answered_suspects, now);
        let ended = self.merge_crash_sets(message, now);
        merge_hints(&mut self.suspects, &message.suspects, now) || answered || ended
    }

    pub(super) fn expire_suspects(&mut self, now: Instant) {
        for tracker in [&mut self.suspects, &mut self.answered_suspects] {
            if !tracker.is_empty() {
                Arc::make_mut(tracker).expire(now);
            }
        }
        if !self.crash_sets.is_empty() {
            Arc::make_mut(&mut self.crash_sets).expire(now);
        }
    }

    /// Whether every other node that is not silent has shown that it knows of an announced crash.
    pub fn all_acknowledged(&self, hint: &SuspectHint, now: Instant) -> bool {
        let announced = self.announced.iter().find(|row| row.hint == *hint);
        let others = || self.others().filter(|row| !self.asked.is_silent(&row.host, now));
        announced.is_none_or(|announced| others().all(|row| announced.is_known_by(&row.host)))
    }
}
