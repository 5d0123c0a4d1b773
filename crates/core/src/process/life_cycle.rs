//! Life cycle of one incarnation of a node, as a typestate.

use crate::NodeId;

/// The node's join record has not been folded yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Joining {
    /// Random id of the incarnation, by which the node recognizes its join record.
    pub boot_id: u128,
}

/// A member that may own partitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Serving {
    /// Id of the incarnation.
    pub id: NodeId,
}

/// A member that is releasing the partitions it owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draining {
    /// Id of the incarnation.
    pub id: NodeId,
}

/// Why a node drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReason {
    /// The process ends, and no longer acts as a witness.
    ProcessEnds,
    /// The upstream announced that it stops; the process continues.
    UpstreamLeaves,
    /// The upstream can no longer be reached; the process continues.
    UpstreamGone,
    /// The lease cannot be renewed any more; the process continues.
    LeaseLost,
}

impl DrainReason {
    /// Whether partitions close a few at a time, so that successors are not overloaded.
    pub const fn is_gradual(self) -> bool {
        matches!(self, Self::ProcessEnds | Self::UpstreamLeaves)
    }
}

/// An incarnation that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone {
    /// Id of the incarnation.
    pub id: NodeId,
}

/// An incarnation in state `S`; each transition consumes the previous state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation<S> {
    /// Data that exists only in this state.
    pub state: S,
}

impl Incarnation<Joining> {
    /// Creates an incarnation that has not joined yet.
    pub const fn begin(boot_id: u128) -> Self {
        Self { state: Joining { boot_id } }
    }

    /// Becomes a member: the join record was folded at offset `id`.
    #[must_use]
    pub const fn joined(self, id: NodeId) -> Incarnation<Serving> {
        Incarnation { state: Serving { id } }
    }
}

impl Incarnation<Serving> {
    /// Starts to drain.
    #[must_use]
    pub const fn drain(self) -> Incarnation<Draining> {
        Incarnation { state: Draining { id: self.state.id } }
    }

    /// Ends because the log says so, or because records expired before this node read them.
    #[must_use]
    pub const fn end(self) -> Incarnation<Gone> {
        Incarnation { state: Gone { id: self.state.id } }
    }
}

impl Incarnation<Draining> {
    /// Ends, normally after everything was released.
    #[must_use]
    pub const fn end(self) -> Incarnation<Gone> {
        Incarnation { state: Gone { id: self.state.id } }
    }
}

/// Life cycle of an incarnation as one type, for storing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeCycle {
    /// The join record has not been folded yet.
    Joining(Incarnation<Joining>),
    /// A member that may own partitions.
    Serving(Incarnation<Serving>),
    /// A member that releases its partitions.
    Draining(Incarnation<Draining>),
    /// The incarnation has ended.
    Gone(Incarnation<Gone>),
}

impl LifeCycle {
    /// Id of the incarnation while it is a member: after joining and before it ends.
    pub const fn id(&self) -> Option<NodeId> {
        match self {
            Self::Serving(incarnation) => Some(incarnation.state.id),
            Self::Draining(incarnation) => Some(incarnation.state.id),
            Self::Joining(_) | Self::Gone(_) => None,
        }
    }

    /// Name of the state, for logs and the status page.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Joining(_) => "joining",
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
            Self::Gone(_) => "gone",
        }
    }
}
