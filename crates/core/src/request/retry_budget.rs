//! Bounds retries by a part of the requests.

/// Retries that are allowed without any request, in tenths.
const RESERVE_TENTHS: u32 = 100;

/// Most retries that can be saved up, in tenths.
const MAX_TENTHS: u32 = 1000;

/// A budget of one retry for ten requests.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: RESERVE_TENTHS }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Takes one retry; false if none is left.
    pub fn withdraw(&mut self) -> bool {
        match self.tenths.checked_sub(10) {
            Some(rest) => {
                self.tenths = rest;
                true
            }
            None => false,
        }
    }
}
