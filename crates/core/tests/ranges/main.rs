//! Tests of range plans, load rebalancing, retry limits and suspected requests, against simple
//! models and with simulated loads.

// Rates and counts in these tests are far below the limits of their types.
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]

mod changes;
mod crash_sets;
mod demand;
mod finished_runs;
mod plans;
mod retries;
mod suspects;
mod uneven;
