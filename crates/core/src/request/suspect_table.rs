//! Requests that crash upstreams.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::connection::SuspectRow;

/// Crashes after which a request is refused.
const CRASH_LIMIT: usize = 2;

/// Suspects by content.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    rows: Vec<SuspectRow>,
}

/// Hash of what makes two requests the same work.
pub fn content_hash(service: &str, key: &[u8], method: &str, path: &str, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), key, method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}

impl SuspectTable {
    /// Replaces the rows; they must be sorted by content.
    pub fn new(rows: Vec<SuspectRow>) -> Self {
        Self { rows }
    }

    /// Whether there is any suspect, so that a hash is worth its cost.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Time for which a request is refused, if it is.
    pub fn refusal(&self, fingerprint: u128, now_ms: u64) -> Option<Duration> {
        let index = self.rows.binary_search_by_key(&fingerprint, |row| row.fingerprint).ok()?;
        let row = &self.rows[index];
        let refused = row.crashes.len() >= CRASH_LIMIT && row.until_ms > now_ms;
        refused.then(|| Duration::from_millis(row.until_ms - now_ms))
    }
}
