//! Pure core of firspindle: every decision, no IO.
//!
//! Each part is a state machine that takes messages and the present [`std::time::Instant`] and
//! gives back messages and state. The `firspindle` crate feeds it from sockets; the property
//! tests feed it from a seeded schedule with faults. Modules are arranged by the life span of
//! what they hold:
//!
//! - [`request`]: one request — its verdict, identity, priority and place in a queue.
//! - [`connection`]: messages between nodes.
//! - [`version`]: what a log offset determines — manifest, membership, lines, plans.
//! - [`process`]: what one incarnation of a node keeps in memory — leases, takeovers.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

/// Offset of a record on the platform's log; the first record has offset 1.
pub type LogOffset = u64;

/// One incarnation of a node: the offset of its join record.
pub type NodeId = u64;

/// Number of a partition: service id in the upper 16 bits, index in the lower 16.
pub type PartitionId = u32;

/// Number of a service, given when a manifest first names it.
pub type ServiceId = u16;

/// Number of a planner's term.
pub type TermNumber = u64;

/// Unique id that a writer gives to a record before its first append.
pub type RecordId = u128;

/// Id of a request: the bits of a UUID.
pub type RequestId = u128;

/// Number of a manifest version; the first accepted manifest is version 1.
pub type ManifestVersion = u64;
