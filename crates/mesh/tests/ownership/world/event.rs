//! What happens at a time.

use std::time::Instant;

use bytes::Bytes;
use firspindle_core::connection::{GrantReply, UpstreamReport};
use firspindle_core::version::UpstreamInstance;
use firspindle_edge::{StateTopic, StoredValue};

/// A write to the store.
#[derive(Debug, Clone)]
pub(super) struct AppendCall {
    pub(super) topic: StateTopic,
    pub(super) key: String,
    pub(super) value: Vec<u8>,
    /// End of the topic that it is conditional on.
    pub(super) at: Option<u64>,
}

#[derive(Debug, Clone)]
pub(super) enum Event {
    Tick,
    Gossip,
    Read(usize),
    ReadDone {
        topic: StateTopic,
        snapshot: bool,
        values: Vec<StoredValue>,
        end: u64,
        at: Instant,
    },
    ReadFailed,
    Datagram(Bytes),
    Append {
        call: AppendCall,
        answers: bool,
    },
    PlanAppended(Option<u64>),
    Beat,
    Report {
        report: Box<UpstreamReport>,
        sent_at: Instant,
    },
    Reply {
        instance: UpstreamInstance,
        reply: GrantReply,
        sent_at: Instant,
    },
    Asked,
    Start,
    StartUpstream,
    /// A plan that gives the cells of one host to another, known to some hosts only.
    Script(PlanScript),
    /// The node's process is killed and starts again while it cannot reach the store.
    Restart {
        down: u64,
    },
}

pub(super) struct Scheduled {
    pub(super) due: u64,
    pub(super) order: u64,
    pub(super) host: usize,
    /// Incarnation of the node that it is for; 0 for any.
    pub(super) incarnation: u64,
    pub(super) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// A plan that gives one host's cells to another and is read by that one alone.
#[derive(Debug, Clone)]
pub struct PlanScript {
    /// Time in milliseconds.
    pub at: u64,
    /// Host that loses its cells.
    pub from: usize,
    /// Host that gets them; if it holds some already, the two swap.
    pub to: usize,
    /// Whether that host's datagrams are lost, both ways.
    pub isolated: bool,
    /// Host that starts late, and when.
    pub late_host: Option<(usize, u64)>,
    /// Host whose process is killed, when, and for how long.
    pub restart: Option<(usize, u64, u64)>,
}
