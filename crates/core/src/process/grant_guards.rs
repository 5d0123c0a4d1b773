//! Safety guards of range grants, which tests can disable one by one.

/// Guards that ensure exclusive ownership of key ranges. Tests disable a guard to check that
/// ownership is violated without it.
///
/// A node always runs with [`GrantGuards::all`]; no setting can disable a guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)]
pub struct GrantGuards {
    /// A node grants only under a plan that was confirmed recently.
    pub confirm: bool,
    /// A new holder waits until each earlier fence has ended.
    pub earlier_wait: bool,
    /// A node that missed plans, as after a start from a snapshot, waits for the unknown holders of
    /// those plans.
    pub snapshot_wait: bool,
    /// A host that became a holder recently waits for the longer time, as others may have renewed
    /// grants without its attestation.
    pub new_member_wait: bool,
    /// A node attests its plan only after a heartbeat showed that nothing is held under a later
    /// one.
    pub heartbeat_proof: bool,
    /// A revoked fence ends only when its last hold does, not as soon as a plan reassigns the cell.
    pub hold_end: bool,
    /// A revoked fence ends with the last key of its cell that the upstream releases, not with the first.
    pub whole_cells: bool,
    /// A cell that the upstream does not hold is granted only under a plan that the store confirmed
    /// recently; attestations of the other holders only extend what is held.
    pub acquire_confirm: bool,
    /// A node grants only under a plan of the store's epoch, and until then renews what it granted
    /// itself.
    pub epoch_plan: bool,
    /// No plan of an epoch is written, and no grant extended by it, before every node of the earlier
    /// epoch has lost the permission to grant cells that are not held.
    pub epoch_wait: bool,
    /// A plan's version names its epoch, and the first one replaces all fences.
    pub epoch_fences: bool,
    /// Attestations that relays pass on count as old as they are, not as new as the datagram.
    pub attestation_age: bool,
}

impl GrantGuards {
    /// Enables every guard.
    pub const fn all() -> Self {
        Self {
            confirm: true,
            earlier_wait: true,
            snapshot_wait: true,
            new_member_wait: true,
            heartbeat_proof: true,
            hold_end: true,
            whole_cells: true,
            acquire_confirm: true,
            epoch_plan: true,
            epoch_wait: true,
            epoch_fences: true,
            attestation_age: true,
        }
    }
}
