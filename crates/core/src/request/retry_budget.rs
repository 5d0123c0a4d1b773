//! Budget that limits retries to a fraction of the requests.

/// Initial balance in tenths of a retry, available before the first request.
const RESERVE_TENTHS: u32 = 100;

/// Most retries that can accumulate, in tenths of a retry.
const MAX_TENTHS: u32 = 1000;

/// Budget of one retry for every ten requests.
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
    /// Adds a tenth of a retry for a request.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Takes one retry; returns false if less than one is left.
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
