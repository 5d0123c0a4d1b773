//! Limit on requests that an upstream names in its answers.

use std::num::NonZeroU32;
use std::time::Duration;

use snafu::Snafu;

/// Largest limit that counts as one, in requests per second.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Rate of requests that an upstream takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamLimit {
    /// Thousandths of a request per second.
    milli: NonZeroU32,
}

/// Why a text names no limit.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LimitError {
    /// The text is not a decimal number without a sign.
    #[snafu(display("not a decimal number"))]
    NotDecimal,
    /// The number is zero, or larger than any rate of requests.
    #[snafu(display("not between 0 and {MAX_PER_SECOND} requests a second"))]
    OutOfRange,
}

impl UpstreamLimit {
    /// Parses a limit in requests per second. One below a thousandth counts as a thousandth.
    ///
    /// # Errors
    ///
    /// If the text is no decimal number, or one that is no rate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn parse(text: &str) -> Result<Self, LimitError> {
        if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
            return Err(LimitError::NotDecimal);
        }
        let per_second: f64 = text.parse().map_err(|_| LimitError::NotDecimal)?;
        if per_second <= 0.0 || per_second > MAX_PER_SECOND {
            return Err(LimitError::OutOfRange);
        }
        let milli = (per_second * 1_000.0) as u32;
        Ok(Self { milli: NonZeroU32::new(milli).unwrap_or(NonZeroU32::MIN) })
    }

    /// Returns the limit of a number of thousandths of a request per second; `None` for 0.
    pub const fn from_milli(milli: u32) -> Option<Self> {
        match NonZeroU32::new(milli) {
            Some(milli) => Some(Self { milli }),
            None => None,
        }
    }

    /// Thousandths of a request per second.
    pub const fn milli(self) -> u32 {
        self.milli.get()
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.milli.get()) / 1_000.0
    }

    /// Time between two requests at the limit.
    pub fn interval(self) -> Duration {
        Duration::from_secs(1_000) / self.milli.get()
    }
}
