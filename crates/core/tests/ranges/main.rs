//! Division by key ranges, levelling of demand and the retry window, against plain versions and
//! on played loads.

// Rates and counts here are far below the limits of their types.
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]

mod demand;
mod plans;
mod retries;
mod suspects;
