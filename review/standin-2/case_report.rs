//! Liveness reports of another writer, whose service is not named in any desired state, after all processes of the
//! system were killed and started again.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::mill::{self, Clients, MILL, share};
use crate::record::note;

/// `recoverS` of the sites.
const RECOVER: Duration = Duration::from_secs(15);

/// Time for which requests are sent before the disruption, and for which they are judged after it.
const JUDGED: Duration = Duration::from_secs(8);

/// Time after the processes are back at which the reports of the other writer come.
const REPORTS_AFTER: Duration = Duration::from_secs(4);

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let Some(mut fleet) = mill::start(&MILL, folder) else { return Outcome::NotRun };
    let clients = Clients::start(&MILL, &fleet);
    std::thread::sleep(JUDGED);
    let fault_at = Instant::now();
    let back_at = mill::kill_all(&mut fleet);
    std::thread::sleep(REPORTS_AFTER);
    mill::show_holds(&fleet);
    for index in 0..fleet.machines.len() {
        if trouble {
            mill::send_report(&fleet, index);
        }
    }
    std::thread::sleep((back_at + RECOVER + JUDGED).saturating_duration_since(Instant::now()));
    mill::show_holds(&fleet);
    judge(clients, fault_at, back_at)
}

/// Judges the rule RECOVER for requests before a final fault and after the machines were back.
fn judge(clients: Clients, fault_at: Instant, back_at: Instant) -> Outcome {
    let sent = clients.end();
    let began = sent.first().map_or(fault_at, |row| row.0);
    let before = share(&sent, began, fault_at);
    let after = share(&sent, back_at + RECOVER, back_at + RECOVER + JUDGED);
    note(&format!(
        "served before the final fault: {before:.3}; of the requests sent later than 15 s after the machines were back: \
         {after:.3}"
    ));
    match (before < 0.25, after < 0.25) {
        (true, _) => Outcome::NotRun,
        (false, true) => Outcome::Broken,
        (false, false) => Outcome::Held,
    }
}
