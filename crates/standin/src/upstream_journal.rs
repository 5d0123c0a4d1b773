//! Journal of the requests that an upstream ran.

use serde::Serialize;

/// One completed run whose work took effect.
#[derive(Debug, Clone, Serialize)]
pub struct JournalRow {
    /// Routing key; empty if the request had none.
    pub key: String,
    /// Request id, from `idempotency-key`.
    pub id: String,
    /// HTTP method of the request, such as `POST`.
    pub method: String,
    /// Request path without the query.
    pub path: String,
    /// Fencing token as `offset.rank`; empty if the request had none.
    pub fence: String,
    /// Start of the work, in microseconds since the machine booted.
    pub start: u64,
    /// End of the work, in microseconds since the machine booted.
    pub end: u64,
}
