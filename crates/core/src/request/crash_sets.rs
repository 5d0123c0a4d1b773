//! Which requests ended shortly before each of several crashes.
//!
//! A crash seconds after an answer is preceded by many requests, of which one may have caused it. What tells it
//! from the others is repetition: it stands before crash after crash, at different upstreams, and none of them
//! outlives it. Nodes tell each other the requests of each crash, four bytes a request, and what upstreams have
//! outlived of those that stand before several crashes. A request that stands alone before three is refused.

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

/// Most cleared requests that are kept.
const MAX_CLEARED: usize = 1_024;

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
    noted_at: Instant,
    told_until: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct ClearedRow {
    cleared: ClearedRequest,
    told_until: Instant,
}

/// Crashes and the requests before them, as one node knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashSets {
    /// In the order in which this node learned of them.
    crashes: Vec<CrashRow>,
    /// Sorted by request.
    cleared: Vec<ClearedRow>,
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
        self.crashes.push(CrashRow { set, noted_at: now, told_until });
        true
    }

    /// Whether a request stands before a crash of which it is not cleared.
    pub fn suspects(&self, fingerprint: u128) -> bool {
        self.counted(shorten(fingerprint)).next().is_some()
    }

    /// Clears a request that an upstream outlived of the crashes until now.
    pub fn clear(&mut self, fingerprint: u128, now: Instant) {
        let request = shorten(fingerprint);
        let before = self.crashes.iter().filter(|row| row.set.contains(request));
        let crashes: Vec<_> = before.map(|row| row.set.instance).collect();
        // What stands before one crash alone is refused nowhere, so the others need not know.
        let told_until = if crashes.len() > 1 { now + TELL_TIME } else { now };
        self.add_cleared(request, &crashes, told_until);
    }

    /// Merges what another node cleared; returns whether it was new.
    pub fn merge_cleared(&mut self, cleared: &ClearedRequest, now: Instant) -> bool {
        self.add_cleared(cleared.request, &cleared.crashes, now + PASS_TIME)
    }

    fn add_cleared(
        &mut self,
        request: ShortFingerprint,
        crashes: &[u64],
        told_until: Instant,
    ) -> bool {
        let index = match self.cleared.binary_search_by_key(&request, |row| row.cleared.request) {
            Ok(index) => index,
            Err(_) if crashes.is_empty() || self.cleared.len() == MAX_CLEARED => return false,
            Err(index) => {
                let cleared = ClearedRequest { request, crashes: Vec::new() };
                self.cleared.insert(index, ClearedRow { cleared, told_until });
                index
            }
        };
        let row = &mut self.cleared[index];
        let before = row.cleared.crashes.len();
        row.cleared.crashes.extend(crashes);
        row.cleared.crashes.sort_unstable();
        row.cleared.crashes.dedup();
        row.cleared.crashes.truncate(MAX_CRASHES);
        let changed = row.cleared.crashes.len() > before;
        if changed {
            row.told_until = row.told_until.max(told_until);
        }
        changed
    }

    /// Returns the crashes that count against a request.
    fn counted(&self, request: ShortFingerprint) -> impl Iterator<Item = &CrashRow> {
        let cleared = self.cleared.binary_search_by_key(&request, |row| row.cleared.request);
        let cleared = cleared.map_or(&[][..], |index| &self.cleared[index].cleared.crashes);
        let counts = move |row: &&CrashRow| cleared.binary_search(&row.set.instance).is_err();
        self.crashes.iter().filter(move |row| row.set.contains(request)).filter(counts)
    }

    /// Returns the time for which a request is still refused, or `None` if it is not refused: of several that
    /// stand before the same crashes none is, until a further crash, or an upstream that outlives one, tells
    /// them apart.
    pub fn refusal(&self, fingerprint: u128, now: Instant) -> Option<Duration> {
        let request = shorten(fingerprint);
        let crashes: Vec<_> = self.counted(request).collect();
        let further = crashes.len().checked_sub(CRASH_LIMIT)?;
        let doublings = u32::try_from(further).unwrap_or(MAX_DOUBLINGS).min(MAX_DOUBLINGS);
        let last_at = crashes.iter().map(|row| row.noted_at).max()?;
        let left = (last_at + BASE_REFUSAL * 2_u32.pow(doublings)).checked_duration_since(now)?;
        (!self.has_rival(request, &crashes)).then_some(left)
    }

    /// Whether another request stands before all of these crashes, too.
    fn has_rival(&self, request: ShortFingerprint, crashes: &[&CrashRow]) -> bool {
        let Some((first, others)) = crashes.split_first() else { return false };
        let stands = |other: ShortFingerprint, row: &CrashRow| {
            let instance = row.set.instance;
            row.set.contains(other) && self.counted(other).any(|row| row.set.instance == instance)
        };
        let rivals = first.set.requests.iter().filter(|other| **other != request);
        let mut rivals = rivals.filter(|other| others.iter().all(|row| row.set.contains(**other)));
        rivals.any(|other| crashes.iter().all(|row| stands(*other, row)))
    }

    /// Returns the crashes to tell another node, the newest first.
    pub fn told_crashes(&self, now: Instant) -> Vec<CrashSet> {
        let due = self.crashes.iter().rev().filter(|row| now < row.told_until);
        due.take(MAX_TOLD_CRASHES).map(|row| row.set.clone()).collect()
    }

    /// Returns the cleared requests to tell another node, the newest first.
    pub fn told_cleared(&self, now: Instant) -> Vec<ClearedRequest> {
        let mut due: Vec<_> = self.cleared.iter().filter(|row| now < row.told_until).collect();
        due.sort_by_key(|row| std::cmp::Reverse(row.told_until));
        due.into_iter().take(MAX_TOLD_CLEARED).map(|row| row.cleared.clone()).collect()
    }

    /// Removes crashes that count no more.
    pub fn expire(&mut self, now: Instant) {
        self.crashes.retain(|row| now < row.noted_at + RETENTION);
        if self.crashes.is_empty() {
            self.cleared.clear();
        }
        let known = |crash: &u64| self.crashes.iter().any(|row| row.set.instance == *crash);
        if self.cleared.len() == MAX_CLEARED {
            self.cleared.retain(|row| row.cleared.crashes.iter().any(known));
        }
    }
}
