//! Handover tokens of keys.

use serde::{Deserialize, Serialize};

/// Handover token that an upstream gave for a range of keys when it released them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHandover {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The token.
    pub token: Box<str>,
}

/// Puts the token of a range among sorted rows, in place of earlier ones of the same keys.
pub(super) fn insert_handover(rows: &mut Vec<KeyHandover>, row: KeyHandover) {
    let mut kept = Vec::with_capacity(rows.len() + 2);
    for old in rows.drain(..) {
        if old.last < row.first || row.last < old.first {
            kept.push(old);
            continue;
        }
        if old.first < row.first {
            kept.push(KeyHandover { last: row.first - 1, ..old.clone() });
        }
        if row.last < old.last {
            kept.push(KeyHandover { first: row.last + 1, ..old });
        }
    }
    let position = kept.partition_point(|old| old.first < row.first);
    kept.insert(position, row);
    // Neighbours with one token are one row.
    kept.dedup_by(|next, row| {
        let joined = row.token == next.token && row.last + 1 == next.first;
        if joined {
            row.last = next.last;
        }
        joined
    });
    *rows = kept;
}
