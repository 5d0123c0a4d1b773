//! Limits retries to a fraction of the requests in a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of slices of the window. A retry counts until its slice has left the window.
const SLICES: u32 = 20;

/// Requests and retries of one service at one node, counted in slices of a sliding window.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    slice_length: Duration,
    rows: VecDeque<SliceRow>,
}

#[derive(Debug, Clone, Copy)]
struct SliceRow {
    ends_at: Instant,
    first_sends: u32,
    retries: u32,
}

impl RetryWindow {
    /// Creates an empty window of the given length.
    pub fn new(window: Duration) -> Self {
        Self { slice_length: window / SLICES, rows: VecDeque::new() }
    }

    /// Returns the slice of `now`, after removing slices that have left the window.
    fn row(&mut self, now: Instant) -> &mut SliceRow {
        while self.rows.len() > SLICES as usize
            || self.rows.front().is_some_and(|row| row.ends_at + self.slice_length * SLICES < now)
        {
            self.rows.pop_front();
        }
        if self.rows.back().is_none_or(|row| row.ends_at <= now) {
            self.rows.push_back(SliceRow {
                ends_at: now + self.slice_length,
                first_sends: 0,
                retries: 0,
            });
        }
        self.rows.back_mut().expect("a slice was just added")
    }

    /// Counts the first send of a request, which later retries are measured against.
    pub fn count_first_send(&mut self, now: Instant) {
        self.row(now).first_sends += 1;
    }

    /// Takes one retry if the window's retries then stay within `ratio` times its requests plus
    /// `allowance`, the node's part of the service's allowance. Returns whether it did.
    pub fn take_retry(&mut self, ratio: f64, allowance: f64, now: Instant) -> bool {
        self.row(now);
        let first_sends: u32 = self.rows.iter().map(|row| row.first_sends).sum();
        let retries: u32 = self.rows.iter().map(|row| row.retries).sum();
        if f64::from(retries + 1) > ratio * f64::from(first_sends) + allowance {
            return false;
        }
        self.row(now).retries += 1;
        true
    }
}
