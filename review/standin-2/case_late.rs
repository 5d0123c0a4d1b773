//! Liveness reports of targets that have crashed, which arrive after their next lives have registered, on an installation
//! whose targets name no `born`, around the killing of all processes of the system.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::case_report::{JUDGED, RECOVER, judge};
use crate::mill::{self, Clients, PLATES};
use crate::record::note;
use crate::target::exchange;

/// Time for which a crashed target is down.
const CRASHED: Duration = Duration::from_millis(1_500);

/// Time from the start of the next lives to the final fault: they have registered and hold their keys.
const REGISTERED: Duration = Duration::from_millis(3_000);

/// Time after the machines are back at which the held-up reports arrive: each target has reported to its new node.
const ARRIVES_AFTER: Duration = Duration::from_millis(2_500);

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let Some(mut fleet) = mill::start(&PLATES, folder) else { return Outcome::NotRun };
    let clients = Clients::start(&PLATES, &fleet);
    std::thread::sleep(JUDGED);
    let machines = 0..fleet.machines.len();
    let sent_at = Instant::now();
    let held_up: Vec<_> =
        machines.clone().map(|index| fleet.target(index).held_up_report()).collect();
    note("all targets crash; a report of each is held up");
    machines.clone().for_each(|index| fleet.target(index).end());
    std::thread::sleep(CRASHED);
    machines.clone().for_each(|index| fleet.start_target(index));
    note("all targets are back, as new lives");
    std::thread::sleep(REGISTERED);
    mill::show_holds(&fleet);
    let fault_at = Instant::now();
    let back_at = mill::kill_all(&mut fleet);
    std::thread::sleep(ARRIVES_AFTER);
    mill::show_holds(&fleet);
    for (index, (path, body)) in machines.zip(&held_up) {
        if trouble {
            let late = sent_at.elapsed().as_secs_f64();
            let answer = exchange(fleet.control(index), "PUT", path, body.as_bytes());
            note(&format!(
                "held-up report arrives at machine {index}, {late:.1} s late: PUT {path}; {answer:?}"
            ));
        }
    }
    std::thread::sleep((back_at + RECOVER + JUDGED).saturating_duration_since(Instant::now()));
    mill::show_holds(&fleet);
    judge(clients, fault_at, back_at)
}
