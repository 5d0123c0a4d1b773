//! Records on the log that all nodes share.

use serde::{Deserialize, Serialize};

use super::{EarlierMember, FoldEpoch, FoldState, MemberInfo, PlanRecord};
use crate::{LogOffset, ManifestVersion, NodeId, RecordId, TermNumber};

/// A record with the id that its writer gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Id; a record that is appended repeatedly under one id is folded once.
    pub id: RecordId,
    /// What the record changes.
    pub body: RecordBody,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// A node joins; the record's offset becomes its id.
    Join(MemberInfo),
    /// A node is about to leave and is assigned no more partitions.
    Drain {
        /// Node that leaves.
        node: NodeId,
    },
    /// A node released everything that it held and has stopped.
    Left {
        /// Node that left.
        node: NodeId,
    },
    /// A node released everything that it held and continues as another incarnation.
    Retire {
        /// Incarnation that ends.
        node: NodeId,
    },
    /// A node's lease is revoked: a majority of its witnesses promised never to grant it again.
    Revoke {
        /// Node whose lease is revoked.
        node: NodeId,
        /// Node that collected the promises.
        prover: NodeId,
    },
    /// No request that a departed member was allowed to run can still run.
    Quiesce {
        /// Departed member.
        node: NodeId,
    },
    /// An operator publishes a manifest.
    Manifest {
        /// Version that it replaces; must be equal to the one in the text.
        replaces: ManifestVersion,
        /// TOML text.
        text: Box<str>,
    },
    /// A node claims the next term and becomes the planner.
    Claim {
        /// Term that it claims.
        term: TermNumber,
        /// Node that becomes the planner.
        node: NodeId,
    },
    /// The planner changes assignments or witness sets.
    Plan(PlanRecord),
    /// The whole state, from which a starting reader continues.
    Checkpoint(Box<CheckpointBody>),
    /// A node joins in an epoch of the log; the record's offset becomes its id.
    EpochJoin(Box<EpochJoin>),
    /// A node writes a manifest again that a restore of the log lost.
    RestoredManifest(RestoredManifest),
}

/// Join of a node in an epoch of the log. [`RecordBody::Join`] is one of epoch 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochJoin {
    /// Epoch that the node joins; it has given up all rights of older ones.
    pub epoch: FoldEpoch,
    /// Information about the node.
    pub info: MemberInfo,
    /// Members of older epochs of which the log does not tell any more.
    pub earlier: Vec<EarlierMember>,
}

/// A manifest that was in force before the log came back from an older copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestoredManifest {
    /// Version that it had.
    pub version: ManifestVersion,
    /// Id of its first record.
    pub record: RecordId,
    /// TOML text.
    pub text: Box<str>,
}

/// A state written to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointBody {
    /// State after folding everything below its `next_offset`.
    pub state: FoldState,
}

impl CheckpointBody {
    /// Offset from which a reader of this checkpoint continues.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset
    }
}

impl LogRecord {
    /// Encodes the record for the log.
    ///
    /// # Panics
    ///
    /// Never for records of this crate: all their types have an encoding.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("records always encode")
    }

    /// Decodes the bytes of [`LogRecord::encode`].
    ///
    /// # Errors
    ///
    /// If the bytes are not a record in this version's encoding.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
