//! Naive id memory and admission queue.

use std::collections::{BTreeMap, BTreeSet};

use firspindle_core::version::PriorityClass;

/// Which ids ran, ever.
#[derive(Debug, Default)]
pub struct NaiveDedup {
    issued: BTreeMap<u64, u128>,
    ran: BTreeSet<u128>,
}

impl NaiveDedup {
    /// A version 7 id by number, made when it is first asked for.
    pub fn id(&mut self, number: u64, now_ms: u64) -> u128 {
        let fresh = (u128::from(now_ms) << 80) | (7 << 76) | (2 << 62) | u128::from(number);
        *self.issued.entry(number).or_insert(fresh)
    }

    /// Runs an id; false if it ran before.
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
    /// A queue of some slots and places.
    pub fn new(slots: usize, limit: usize) -> Self {
        Self { slots, limit, running: 0, waiting: Vec::new() }
    }

    /// Whether it starts, and who is displaced; `ticket` is what the other queue gave.
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

    /// Who starts when one ends.
    pub fn finish(&mut self) -> Option<u64> {
        self.running -= 1;
        if self.waiting.is_empty() {
            return None;
        }
        self.running += 1;
        Some(self.waiting.remove(0).1)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}
