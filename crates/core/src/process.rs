//! State that one incarnation of a node keeps in memory.
//!
//! [`NodeMachine`] combines the parts: the lease that the node holds ([`LeaseTable`]), the
//! leases that it grants as a witness ([`WitnessTable`]), proofs that other nodes' leases are
//! revoked ([`RevocationTable`]) and the partitions that it serves ([`OwnershipTable`]).
//!
//! Services that are sharded by key range use other parts: [`plan_ranges`] computes which upstream
//! holds which cells, [`GrantTable`] grants them to the node's own upstream, and
//! [`PlanConfirmation`] knows how recently the store confirmed the plan.
//!
//! Nothing here survives the process, and no promise to another node depends on it surviving.

mod evacuation_table;
mod fence_token;
mod grant_guards;
mod grant_permit;
mod grant_table;
mod grant_timing;
mod lease_table;
mod lease_timing;
mod life_cycle;
mod load_rebalancer;
mod move_deferral;
mod node_action;
mod node_machine;
mod ownership_table;
mod peer_log;
mod plan_confirmation;
mod planner_schedule;
mod range_planner;
mod relay_choice;
mod revocation_table;
mod safety_guards;
mod store_backoff;
mod witness_table;

pub use evacuation_table::{EvacuationTable, LearnedAt};
pub use fence_token::FenceToken;
pub use grant_guards::GrantGuards;
pub use grant_permit::GrantPermit;
pub use grant_table::{EndedFence, GrantTable, KeyHandover};
pub use grant_timing::GrantTiming;
pub use lease_table::LeaseTable;
pub use lease_timing::LeaseTiming;
pub use life_cycle::{DrainReason, Draining, Gone, Incarnation, Joining, LifeCycle, Serving};
pub use load_rebalancer::{CellMove, HolderLoad, rebalance_load};
pub use move_deferral::defer_moves;
pub use node_action::NodeAction;
pub use node_machine::{NodeMachine, OwnedRow};
pub use ownership_table::{
    DedupWait, EarlierRight, EndedGrant, HeldGrant, OwnershipTable, PartitionOwnership,
    PendingGrant, ReleasedGrant, ReleasingGrant,
};
pub use peer_log::PeerLog;
pub use plan_confirmation::PlanConfirmation;
pub use planner_schedule::PlannerSchedule;
pub use range_planner::{MAX_RANGES, RangeCandidate, ServiceCandidates, ShareFilling, plan_ranges};
pub use relay_choice::{
    CentreRelays, RELAYS_PER_CENTRE, RelayCandidate, choose_relays, order_leaders,
};
pub use revocation_table::{RevocationCheck, RevocationTable};
pub use safety_guards::SafetyGuards;
pub use store_backoff::StoreBackoff;
pub use witness_table::WitnessTable;
