//! Liveness reports of another writer, whose service is not named in any desired state, after all processes of the
//! system were killed and started again.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Call, call};
use crate::fleet::Fleet;
use crate::mill;
use crate::record::{note, seconds};

/// `recoverS` of the site.
const RECOVER: Duration = Duration::from_secs(15);

/// Time for which requests are judged, before the final fault and after it.
const JUDGED: Duration = Duration::from_secs(8);

/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(1_200);

/// Time after the processes are back at which the reports of the other writer come.
const REPORTS_AFTER: Duration = Duration::from_secs(4);

/// When a request was sent and whether it was served.
type Sent = Arc<Mutex<Vec<(Instant, bool)>>>;

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let Some(mut fleet) = mill::start(folder) else { return Outcome::NotRun };
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Sent::default());
    let clients = start_clients(&fleet, &stop, &sent);
    std::thread::sleep(JUDGED);
    let fault_at = Instant::now();
    note("final fault: all processes of the system are killed");
    for index in 0..fleet.machines.len() {
        fleet.kill_node(index);
    }
    std::thread::sleep(DOWN);
    for index in 0..fleet.machines.len() {
        fleet.start_node(index, false);
    }
    let back_at = Instant::now();
    note("the machines are back");
    std::thread::sleep(REPORTS_AFTER);
    mill::show_holds(&fleet);
    for index in 0..fleet.machines.len() {
        if trouble {
            mill::send_report(&fleet, index);
        }
    }
    let judged_from = back_at + RECOVER;
    while Instant::now() < judged_from + JUDGED {
        std::thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("no client panics");
    }
    mill::show_holds(&fleet);
    let sent = sent.lock().expect("no client panics");
    for (second, served, all) in by_second(&sent) {
        note(&format!("sent in second {second}: {all}, served {served}"));
    }
    let before = share(&sent, fault_at - JUDGED, fault_at);
    let after = share(&sent, judged_from, judged_from + JUDGED);
    note(&format!(
        "served before the final fault: {before:.3}; of the requests sent later than 15 s after the machines were back: \
         {after:.3}"
    ));
    if before < 0.25 {
        return Outcome::NotRun;
    }
    if after < 0.25 { Outcome::Broken } else { Outcome::Held }
}

/// Starts clients that look up keys from the whole range through all nodes.
fn start_clients(
    fleet: &Fleet,
    stop: &Arc<AtomicBool>,
    sent: &Sent,
) -> Vec<std::thread::JoinHandle<()>> {
    let start = |index: usize| {
        let address = fleet.traffic(index % fleet.machines.len());
        let (stop, sent) = (stop.clone(), sent.clone());
        std::thread::spawn(move || {
            let mut key = u16::try_from(index).unwrap_or(0).wrapping_mul(7_919);
            while !stop.load(Ordering::SeqCst) {
                key = key.wrapping_add(10_007);
                let request = Call {
                    key: Some(key),
                    budget: Duration::from_millis(1_200),
                    ..Call::get(mill::HOST, "/stock/roll?ms=20")
                };
                let at = Instant::now();
                let served = call(address, &request).is_some_and(|done| done.is_served());
                sent.lock().expect("no client panics").push((at, served));
                std::thread::sleep(Duration::from_millis(30));
            }
        })
    };
    (0..9).map(start).collect()
}

#[allow(clippy::cast_precision_loss)]
fn share(sent: &[(Instant, bool)], from: Instant, until: Instant) -> f64 {
    let rows: Vec<_> = sent.iter().filter(|row| (from..until).contains(&row.0)).collect();
    rows.iter().filter(|row| row.1).count() as f64 / rows.len().max(1) as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn by_second(sent: &[(Instant, bool)]) -> Vec<(usize, usize, usize)> {
    let mut rows: Vec<(usize, usize, usize)> = Vec::new();
    let mut sorted: Vec<_> = sent.iter().map(|row| (seconds(row.0) as usize, row.1)).collect();
    sorted.sort_unstable();
    for (second, served) in sorted {
        match rows.last_mut() {
            Some(row) if row.0 == second => {
                row.1 += usize::from(served);
                row.2 += 1;
            }
            _ => rows.push((second, usize::from(served), 1)),
        }
    }
    rows
}
