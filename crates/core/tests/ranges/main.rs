//! Division by key ranges, levelling of demand and the retry window, against plain versions and
//! on played loads.

mod demand;
mod plans;
mod retries;
