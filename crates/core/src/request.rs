//! State and decisions of single requests: verdict, deduplication, priority, route.

mod admission_queue;
mod answer_times;
mod call_tracker;
mod cold_tracker;
mod crash_sets;
mod dedup_table;
mod ended_runs;
mod finished_runs;
mod limit_tracker;
mod load_tracker;
mod node_choice;
mod notice_table;
mod patience_table;
mod rank_shares;
mod ranked_queue;
mod rate_meter;
mod request_failure;
mod request_rank;
mod request_verdict;
mod retry_budget;
mod retry_window;
mod return_schedule;
mod route_table;
mod run_times;
mod slot_claim;
mod suspect_table;
mod suspect_tracker;

pub use admission_queue::{Admission, AdmissionQueue, Completion};
pub use answer_times::AnswerTimes;
pub use call_tracker::{CallTracker, CallVerdict};
pub use cold_tracker::{ColdBelief, ColdCause, ColdRule, ColdTracker};
pub use crash_sets::{ClearedRequest, CrashSet, CrashSets, ShortFingerprint};
pub use dedup_table::{DEDUP_WAIT_MS, DedupDecision, DedupTable, id_unix_ms};
pub use ended_runs::{CRASH_DELAY, EndedRuns};
pub use finished_runs::{CrashSuspects, FinishedRuns, OUTLIVE_TIME};
pub use limit_tracker::LimitTracker;
pub use load_tracker::{LoadTracker, PEER_REPORT_LIFETIME};
pub use node_choice::{NodeDistance, NodeOption, choose_node};
pub use notice_table::{
    InstanceHash, NoticeTable, QueueForecast, StartForecast, ToldNotice, hash_instance,
};
pub use patience_table::PatienceTable;
pub use ranked_queue::RankedQueue;
pub use rate_meter::RateMeter;
pub use request_failure::RequestFailure;
pub use request_rank::RequestRank;
pub use request_verdict::RequestVerdict;
pub use retry_budget::RetryBudget;
pub use retry_window::RetryWindow;
pub use return_schedule::ReturnSchedule;
pub use route_table::{RouteTable, ServiceRoute, TargetRow};
pub use run_times::RunTimes;
pub use slot_claim::{
    ClaimDecision, ClaimForecast, ClaimReason, ClaimRefusal, ClaimTicket, SettledClaim, SlotClaim,
};
pub use suspect_table::{SuspectTable, request_fingerprint};
pub use suspect_tracker::{MAX_HINTS, SuspectHint, SuspectTracker};
