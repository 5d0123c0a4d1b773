//! Maps keys to partitions.

use xxhash_rust::xxh3::xxh3_64;

use crate::{PartitionId, ServiceId};

/// Bits of a partition id that hold the index within the service.
const INDEX_BITS: u32 = 16;

/// Id of the partition with an index within a service.
pub fn partition_id(service: ServiceId, index: u16) -> PartitionId {
    (PartitionId::from(service) << INDEX_BITS) | PartitionId::from(index)
}

/// Service that a partition belongs to.
#[allow(clippy::cast_possible_truncation)]
pub fn partition_service(partition: PartitionId) -> ServiceId {
    (partition >> INDEX_BITS) as ServiceId
}

/// Index of a partition within its service.
#[allow(clippy::cast_possible_truncation)]
pub fn partition_index(partition: PartitionId) -> u16 {
    partition as u16
}

/// Partition of a key among the `count` partitions of a service.
///
/// # Panics
///
/// If `count` is zero, which a validated manifest rules out.
#[allow(clippy::cast_possible_truncation)]
pub fn partition_of_key(service: ServiceId, count: u16, key: &[u8]) -> PartitionId {
    assert!(count > 0, "a service has at least one partition");
    let hash = xxh3_64(key);
    // Multiply-shift maps the hash to 0..count without the bias of a remainder.
    let index = ((u128::from(hash) * u128::from(count)) >> 64) as u16;
    partition_id(service, index)
}
