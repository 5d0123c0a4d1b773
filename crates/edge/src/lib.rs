//! Interfaces between the mesh node and the platform that it runs on, and the node's access to
//! clocks, sockets and its log.
//!
//! [`PlatformCodec`] decodes and encodes the messages of a platform's upstreams and operators and
//! names its headers ([`HeaderNames`]); [`StateStore`] keeps records. [`MemoryStore`] is an
//! in-memory store for tests.

mod boot_clock;
mod crash_probe;
mod header_names;
mod load_report;
mod log_limiter;
mod log_queue;
mod memory_store;
mod open_connections;
mod platform_codec;
mod retry_after;
mod settings_file;
mod state_store;
mod upstream_notice;

pub use boot_clock::{BootClock, boot_time, unix_ms, unix_time};
pub use crash_probe::upstream_died;
pub use header_names::HeaderNames;
pub use load_report::{ReportError, read_cold_time, read_load};
pub use log_limiter::LogLimiter;
pub use log_queue::{LogDrain, LogQueue};
pub use memory_store::MemoryStore;
pub use open_connections::{ConnectionGuard, OpenConnections, discard_unread};
pub use platform_codec::{DecodeError, DecodePlace, PlatformCodec};
pub use retry_after::parse_retry_after;
pub use settings_file::read_settings_file;
pub use state_store::{ReadBatch, StateStore, StateTopic, StoreError, TopicRecord, TopicSnapshot};
pub use upstream_notice::{LimitNotice, UpstreamNotice};
