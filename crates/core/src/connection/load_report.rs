//! Load that an upstream reports in its answers.

use std::num::NonZeroU32;

/// Load as an upstream reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: NonZeroU32,
    /// Time that work takes there now, in percent of the usual time, from 10 to 10,000; `None` if it was
    /// not said.
    pub pace_percent: Option<NonZeroU32>,
}
