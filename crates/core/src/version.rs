//! State that an offset of the log determines.
//!
//! The log's offset is the only order in the system. Two nodes that folded the log up to the same
//! offset hold equal [`FoldState`]s, whatever messages they exchanged; everything else that a node
//! knows is a hint. Readers drop a record whose precondition fails (a manifest that replaces a
//! version that is not in force, a plan computed from an outdated revision), so a late or repeated
//! append changes nothing.

mod check_finding;
mod epoch_offset;
mod evacuation_set;
mod fold_state;
mod host_record;
mod key_hash;
mod log_position;
mod log_record;
mod manifest_change;
mod manifest_check;
mod manifest_spec;
mod member_row;
mod partition_row;
mod plan_builder;
mod plan_changes;
mod plan_record;
mod range_plan;
mod route_manifest;
mod service_table;
mod spec_error;
mod witness_chooser;
mod witness_row;

pub use check_finding::{CheckFinding, FindingKind, FindingPlace, FindingSeverity};
pub use epoch_offset::{FoldEpoch, MAX_EPOCH, epoch_of, epoch_offset, offset_in_log};
pub use evacuation_set::{EvacuationEffect, EvacuationSet};
pub use fold_state::{FoldOutcome, FoldState, ManifestRow, ServiceRow, TermRow};
pub use host_record::{HostRecord, MAX_INCARNATION, UpstreamRecord, UpstreamState};
pub use key_hash::{partition_id, partition_index, partition_of_key, partition_service};
pub use log_position::{LogEpoch, LogPosition};
pub use log_record::{CheckpointBody, EpochJoin, LogRecord, RecordBody, RestoredManifest};
pub use manifest_change::{
    ChangeKind, FieldChange, ManifestChange, check_version, compare_manifests,
};
pub use manifest_check::{CheckBounds, check_manifest};
pub use manifest_spec::{
    ManifestSpec, OperationSpec, PlacementPolicy, PriorityClass, ServicePartitioning, ServiceSpec,
};
pub use member_row::{
    DepartReason, DepartedRow, EarlierMember, MemberInfo, MemberRow, UpstreamInfo,
};
pub use partition_row::{AssignmentRow, PartitionRow};
pub use plan_builder::{PlanBuilder, SuccessorStrategy};
pub use plan_changes::PlanChanges;
pub use plan_record::{AssignmentChange, PlanRecord, WitnessSetChange};
pub use range_plan::{
    CELL_KEYS, CELLS, CellIndex, CellRow, HolderRow, PlanVersion, RangePlan, ServiceRanges,
    UpstreamInstance, cell_of_key, epoch_of_version, keys_of_cells, plan_version_at,
};
pub use route_manifest::{
    CallerLimits, ColdTerms, MeshService, RequestKind, RouteId, RouteManifest, RouteRow, SplitRow,
    route_id,
};
pub use service_table::rendezvous_weight;
pub use spec_error::{SpecError, line_of_offset};
pub use witness_chooser::choose_witnesses;
pub use witness_row::{WitnessRow, WitnessSet};
