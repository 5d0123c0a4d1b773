//! Which requests ended shortly before each of several crashes.
//!
//! A crash seconds after an answer is preceded by many requests, of which one may have caused it. What tells it
//! from the others is repetition: it stands before crash after crash, at different upstreams, and none of them
//! outlives it. Nodes tell each other the requests of each crash, four bytes a request, and what upstreams have
//! outlived of those that stand before several crashes. A request that stands alone before three is refused.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Part of a request's fingerprint that tells apart the requests of a few crashes.
pub type ShortFingerprint = u32;

/// Number of crashes from which on a request is refused.
const CRASH_LIMIT: usize = 3;

/// Time after the last crash for which a request is refused at first; it doubles with each further crash.
const BASE_REFUSAL: Duration = Duration::from_secs(60);

/// Most doublings of [`BASE_REFUSAL`], which limits a refusal to about an hour.
const MAX_DOUBLINGS: u32 = 6;

/// Time for which a crash counts.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Most crashes that are kept; the oldest give way.
const MAX_CRASHES: usize = 48;

/// Most requests of one crash: the last ones that ended.
const MAX_REQUESTS: usize = 256;

/// Most words of cleared requests that are kept; the oldest give way.
const MAX_CLEARED: usize = 256;

/// Time for which the word that a request was cleared is kept for crashes that are told later.
const CLEARED_TIME: Duration = Duration::from_secs(10);

/// Time after a crash for which its own node tells it, and for which others pass it on.
const TELL_TIME: Duration = Duration::from_secs(5);
const PASS_TIME: Duration = Duration::from_millis(1_500);

/// Most crashes, and most cleared requests, in one datagram.
const MAX_TOLD_CRASHES: usize = 2;
const MAX_TOLD_CLEARED: usize = 16;

/// A crash, and the requests that ended shortly before it, as nodes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSet {
    /// Hash of the instance that crashed.
    pub instance: u64,
    /// The requests, sorted.
    pub requests: Vec<ShortFingerprint>,
}

/// A request that an upstream outlived after it had stood before these crashes, as nodes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedRequest {
    /// The request.
    pub request: ShortFingerprint,
    /// Hashes of the instances that crashed, sorted.
    pub crashes: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashRow {
    set: CrashSet,
    /// Those of its requests that it does not count against any more, sorted.
    cleared: Vec<ShortFingerprint>,
    noted_at: Instant,
    told_until: Instant,
}

/// The word that a request was cleared.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ClearedWord {
    cleared: ClearedRequest,
    told_until: Instant,
    kept_until: Instant,
}

/// Crashes and the requests before them, as one node knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashSets {
    /// In the order in which this node learned of them.
    crashes: Vec<CrashRow>,
    /// In the order in which this node learned of them.
    cleared: VecDeque<ClearedWord>,
}

/// Returns the part of a fingerprint by which crashes are compared.
#[allow(clippy::cast_possible_truncation)]
const fn shorten(fingerprint: u128) -> ShortFingerprint {
    fingerprint as ShortFingerprint
}

impl CrashSet {
    fn contains(&self, request: ShortFingerprint) -> bool {
        self.requests.binary_search(&request).is_ok()
    }
}

impl CrashRow {
    /// Whether the crash counts against a request.
    fn counts(&self, request: ShortFingerprint) -> bool {
        self.set.contains(request) && self.cleared.binary_search(&request).is_err()
    }

    /// Clears a request of the crash; returns whether it counted before.
    fn clear(&mut self, request: ShortFingerprint) -> bool {
        let index =
            self.cleared.binary_search(&request).err().filter(|_| self.set.contains(request));
        if let Some(index) = index {
            self.cleared.insert(index, request);
        }
        index.is_some()
    }
}

impl CrashSets {
    /// Whether no crash is known, so that requests need not be hashed.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records a crash of an instance; `requests` are those that ended before it, the last one first.
    pub fn note_crash(&mut self, instance: u64, requests: &[u128], now: Instant) {
        let last = requests.iter().take(MAX_REQUESTS);
        let mut requests: Vec<_> = last.map(|fingerprint| shorten(*fingerprint)).collect();
        requests.sort_unstable();
        requests.dedup();
        self.add(CrashSet { instance, requests }, now, now + TELL_TIME);
    }

    /// Merges a crash that another node told; returns whether it was new.
    pub fn merge_crash(&mut self, set: &CrashSet, now: Instant) -> bool {
        let is_sorted = set.requests.is_sorted() && set.requests.len() <= MAX_REQUESTS;
        is_sorted && self.add(set.clone(), now, now + PASS_TIME)
    }

    fn add(&mut self, set: CrashSet, now: Instant, told_until: Instant) -> bool {
        let known = self.crashes.iter().any(|row| row.set.instance == set.instance);
        if known || set.requests.is_empty() {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        let mut row = CrashRow { set, cleared: Vec::new(), noted_at: now, told_until };
        for word in self.cleared.iter().filter(|word| now < word.kept_until) {
            if word.cleared.crashes.contains(&row.set.instance) {
                row.clear(word.cleared.request);
            }
        }
        self.crashes.push(row);
        true
    }

    /// Whether a request stands before a crash of which it is not cleared.
    pub fn suspects(&self, fingerprint: u128) -> bool {
        let request = shorten(fingerprint);
        self.crashes.iter().any(|row| row.counts(request))
    }

    /// Clears a request that an upstream outlived of the crashes until now.
    pub fn clear(&mut self, fingerprint: u128, now: Instant) {
        let request = shorten(fingerprint);
        let before = self.crashes.iter().filter(|row| row.set.contains(request));
        let crashes: Vec<_> = before.map(|row| row.set.instance).collect();
        // What stands before one crash alone is refused nowhere, so the others need not know.
        let told_until = if crashes.len() > 1 { now + TELL_TIME } else { now };
        self.add_cleared(ClearedRequest { request, crashes }, told_until, now);
    }

    /// Merges what another node cleared; returns whether it was new.
    pub fn merge_cleared(&mut self, cleared: &ClearedRequest, now: Instant) -> bool {
        let is_known = self.cleared.iter().any(|word| word.cleared == *cleared);
        let is_bounded = cleared.crashes.len() <= MAX_CRASHES;
        if is_known || !is_bounded {
            return false;
        }
        self.add_cleared(cleared.clone(), now + PASS_TIME, now);
        true
    }

    fn add_cleared(&mut self, cleared: ClearedRequest, told_until: Instant, now: Instant) {
        for row in &mut self.crashes {
            if cleared.crashes.contains(&row.set.instance) {
                row.clear(cleared.request);
            }
        }
        if self.cleared.len() == MAX_CLEARED {
            self.cleared.pop_front();
        }
        let kept_until = now + CLEARED_TIME;
        self.cleared.push_back(ClearedWord { cleared, told_until, kept_until });
    }

    /// Returns the time for which a request is still refused, or `None` if it is not refused: of several that
    /// stand before the same crashes none is, until a further crash, or an upstream that outlives one, tells
    /// them apart.
    pub fn refusal(&self, fingerprint: u128, now: Instant) -> Option<Duration> {
        let request = shorten(fingerprint);
        let crashes: Vec<_> = self.crashes.iter().filter(|row| row.counts(request)).collect();
        let further = crashes.len().checked_sub(CRASH_LIMIT)?;
        let doublings = u32::try_from(further).unwrap_or(MAX_DOUBLINGS).min(MAX_DOUBLINGS);
        let last_at = crashes.iter().map(|row| row.noted_at).max()?;
        let left = (last_at + BASE_REFUSAL * 2_u32.pow(doublings)).checked_duration_since(now)?;
        (!has_rival(request, &crashes)).then_some(left)
    }

    /// Returns the crashes to tell another node, the newest first.
    pub fn told_crashes(&self, now: Instant) -> Vec<CrashSet> {
        let due = self.crashes.iter().rev().filter(|row| now < row.told_until);
        due.take(MAX_TOLD_CRASHES).map(|row| row.set.clone()).collect()
    }

    /// Returns the cleared requests to tell another node, the newest first.
    pub fn told_cleared(&self, now: Instant) -> Vec<ClearedRequest> {
        let due = self.cleared.iter().rev().filter(|word| now < word.told_until);
        due.take(MAX_TOLD_CLEARED).map(|word| word.cleared.clone()).collect()
    }

    /// Removes what counts no more.
    pub fn expire(&mut self, now: Instant) {
        self.crashes.retain(|row| now < row.noted_at + RETENTION);
        self.cleared.retain(|word| now < word.kept_until);
    }
}

/// Whether another request stands before all of these crashes, too.
fn has_rival(request: ShortFingerprint, crashes: &[&CrashRow]) -> bool {
    let Some((first, others)) = crashes.split_first() else { return false };
    let mut rivals = first.set.requests.iter().filter(|other| **other != request);
    rivals.any(|other| first.counts(*other) && others.iter().all(|row| row.counts(*other)))
}
