//! Pure core of firspindle: all decisions, no I/O.
//!
//! Each part is a state machine that takes messages and the current [`std::time::Instant`] and
//! returns messages and state. The `firspindle` and `firspindle-mesh` crates drive it from sockets;
//! the property tests drive it from a seeded schedule with faults. Modules are arranged by the
//! lifetime of what they hold:
//!
//! - [`request`]: one request — its verdict, identity, priority and place in a queue.
//! - [`connection`]: messages between nodes, and heartbeats of upstreams.
//! - [`version`]: state determined by a log offset — manifest, membership, assignments, plans.
//! - [`process`]: state that one incarnation of a node keeps in memory — leases, ownership.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

/// Offset of a record in the platform's log; the first record has offset 1.
pub type LogOffset = u64;

/// Id of one incarnation of a node: the offset of its join record.
pub type NodeId = u64;

/// Number of a partition: service id in the upper 16 bits, index in the lower 16.
pub type PartitionId = u32;

/// Number of a service, assigned when a manifest first names it.
pub type ServiceId = u16;

/// Number of a planner's term; each claim of the planner role begins a new term.
pub type TermNumber = u64;

/// Unique id that a writer assigns to a record before its first append.
pub type RecordId = u128;

/// Id of a request: the bits of a UUID.
pub type RequestId = u128;

/// Number of a manifest version; the first accepted manifest is version 1.
pub type ManifestVersion = u64;
