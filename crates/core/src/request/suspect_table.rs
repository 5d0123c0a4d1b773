//! Requests that are suspected of crashing upstreams.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::connection::SuspectRow;

/// Number of crashes from which on a request is refused.
const CRASH_LIMIT: usize = 2;

/// Suspected requests, sorted by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    rows: Vec<SuspectRow>,
}

/// Returns the fingerprint by which nodes recognize a repeated request: a hash of these parts.
pub fn request_fingerprint(
    service: &str,
    key: &[u8],
    method: &str,
    path: &str,
    body: &[u8],
) -> u128 {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), key, method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}

impl SuspectTable {
    /// Creates a table from rows that are sorted by fingerprint.
    pub fn new(rows: Vec<SuspectRow>) -> Self {
        Self { rows }
    }

    /// Whether no request is suspected, so that requests need not be hashed.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the time for which the request is still refused, or `None` if it is not refused.
    pub fn refusal(&self, fingerprint: u128, now_ms: u64) -> Option<Duration> {
        let index = self.rows.binary_search_by_key(&fingerprint, |row| row.fingerprint).ok()?;
        let row = &self.rows[index];
        let refused = row.crashes.len() >= CRASH_LIMIT && row.until_ms > now_ms;
        refused.then(|| Duration::from_millis(row.until_ms - now_ms))
    }
}
