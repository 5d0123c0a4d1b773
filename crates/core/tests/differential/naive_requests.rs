//! Naive versions of the deduplication table and the admission queue.

use std::collections::{BTreeMap, BTreeSet};

use firspindle_core::version::PriorityClass;

/// All ids that were ever issued or run.
#[derive(Debug, Default)]
pub struct NaiveDedup {
    issued: BTreeMap<u64, u128>,
    ran: BTreeSet<u128>,
}

impl NaiveDedup {
    /// Version 7 id by number, created when it is first requested.
    pub fn id(&mut self, number: u64, now_ms: u64) -> u128 {
        let fresh = (u128::from(now_ms) << 80) | (7 << 76) | (2 << 62) | u128::from(number);
        *self.issued.entry(number).or_insert(fresh)
    }

    /// Runs an id; returns false if it ran before.
    pub fn run(&mut self, id: u128) -> bool {
        self.ran.insert(id)
    }
}

/// Waiting requests in one sorted list.
#[derive(Debug)]
pub struct NaiveQueue {
    slots: usize,
    limit: usize,
    running: usize,
    waiting: Vec<(PriorityClass, u64)>,
}

impl NaiveQueue {
    /// An empty queue with `slots` slots; at most `limit` requests wait.
    pub fn new(slots: usize, limit: usize) -> Self {
        Self { slots, limit, running: 0, waiting: Vec::new() }
    }

    /// Whether the request starts, and the ticket that it displaces; `ticket` is the one that the
    /// tested queue gave it.
    pub fn offer(&mut self, class: PriorityClass, ticket: Option<u64>) -> (bool, Option<u64>) {
        if self.running < self.slots {
            self.running += 1;
            return (true, None);
        }
        let mut displaced = None;
        if self.waiting.len() >= self.limit {
            let last = self.waiting.iter().copied().max();
            match last {
                Some(last) if last.0 > class => {
                    self.waiting.retain(|row| *row != last);
                    displaced = Some(last.1);
                }
                _ => return (false, None),
            }
        }
        self.waiting.push((class, ticket.unwrap_or(0)));
        self.waiting.sort_unstable();
        (false, displaced)
    }

    /// Ticket that starts when a running request ends.
    pub fn finish(&mut self) -> Option<u64> {
        self.running -= 1;
        if self.waiting.is_empty() {
            return None;
        }
        self.running += 1;
        Some(self.waiting.remove(0).1)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}
