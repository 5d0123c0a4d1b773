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

/// Divides a range of keys by their tokens. Keys without one have an empty token.
pub(super) fn split_by_token(
    first: u16,
    last: u16,
    tokens: &[KeyHandover],
) -> Vec<(u16, u16, &str)> {
    let mut ranges: Vec<(u16, u16, &str)> = Vec::new();
    if tokens.is_empty() {
        ranges.push((first, last, ""));
        return ranges;
    }
    for key in first..=last {
        let row = tokens.iter().find(|row| (row.first..=row.last).contains(&key));
        let token = row.map_or("", |row| &*row.token);
        match ranges.last_mut() {
            Some(range) if range.2 == token => range.1 = key,
            _ => ranges.push((key, key, token)),
        }
    }
    ranges
}
