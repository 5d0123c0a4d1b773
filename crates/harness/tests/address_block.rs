//! Tests of the addresses of fleets that run at the same time.

use harness::AddressBlock;

/// Number of fleets; blocks drawn without regard to each other are distinct in one of 80 runs.
const FLEETS: usize = 600;

/// Guards against two tests that run at the same time and bind the same addresses.
#[test]
fn fleets_at_the_same_time_have_different_addresses() {
    let blocks: Vec<_> = (0..FLEETS).map(|_| AddressBlock::reserve()).collect();
    let mut addresses: Vec<_> = blocks.iter().map(|block| block.address_of(0, 1)).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), FLEETS);
}
