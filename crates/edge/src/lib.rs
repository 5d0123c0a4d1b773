//! The edge of the mesh node: what a platform has to offer.
//!
//! [`PlatformCodec`] reads and writes what upstreams, callers and operators send in a platform's
//! own words; [`StateStore`] keeps records. Each has an in-memory twin or a plain value for
//! tests: [`MemoryStore`], [`HeaderNames`].

mod boot_clock;
mod crash_probe;
mod header_names;
mod log_limiter;
mod log_queue;
mod memory_store;
mod platform_codec;
mod state_store;

pub use boot_clock::{BootClock, boot_time, unix_ms, unix_time};
pub use crash_probe::upstream_died;
pub use header_names::HeaderNames;
pub use log_limiter::LogLimiter;
pub use log_queue::{LogDrain, LogQueue};
pub use memory_store::MemoryStore;
pub use platform_codec::{DecodeError, PlatformCodec};
pub use state_store::{ReadBatch, StateStore, StateTopic, StoreError, TopicRecord, TopicSnapshot};
