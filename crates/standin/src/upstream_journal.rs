//! What an upstream ran.

use serde::Serialize;

/// One run whose work took effect.
#[derive(Debug, Clone, Serialize)]
pub struct JournalRow {
    /// Key.
    pub key: String,
    /// Request id.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Fence.
    pub fence: String,
    /// Start, in microseconds of boot time.
    pub start: u64,
    /// End, in microseconds of boot time.
    pub end: u64,
}
