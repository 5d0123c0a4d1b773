//! Clients that read downloads slowly while the node that took their requests is stopped by SIGTERM.
//!
//! What the node loses is what it holds of an answer when it ends, beyond what the kernel has taken over. How much the
//! kernel takes differs between machines, so the case plays rounds with answers of several lengths.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Call, Done, call};
use crate::fleet::{Fleet, FleetSpec, MachineSpec};
use crate::record::{note, note_at, seconds};
use crate::system::SIGTERM;

const HOST: &str = "plaques.example";

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","prefix","kind","timeoutS","aimS","priority","trafficSplit","maxAttempts","service"],"rows":[["verif-plaque","plaques.example","/verif/","idempotent",4,0.6,2,null,2,"registre"],["pack-gabarit","plaques.example","/pack/","download",4,0.6,2,null,2,"atelier"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls","sharded","warmS","grants"],"rows":[["registre","/healthz",130,"h1",false,true,2.0,"heartbeat"],["atelier","/healthz",130,"h1",false,null,null,null]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":5}"#;

const BOUNDS: &str = "apply_s = 2\ndrain_s = 2\ngrace_s = 6\nhold_limit_s = 10\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 64\nlink_mbps = 1000\nmemory_mb = 260\n";

/// Lengths of the packs, in bytes, one for each round. Packs of the site have 90,000 bytes in the mean and 540,000 at
/// most.
const PACK_BYTES: [usize; 7] = [180_000, 150_000, 210_000, 120_000, 240_000, 280_000, 330_000];

/// Time budget of the site's downloads.
const BUDGET: Duration = Duration::from_secs(4);

/// Time for which a client reads nothing after the first bytes of the pack.
const PAUSE: Duration = Duration::from_millis(2_900);

/// Work of a target on a pack.
const WORK_MS: u64 = 100;

/// Time from the requests to SIGTERM: the answers have begun.
const SIGTERM_AFTER: Duration = Duration::from_millis(300);

/// Clients in a round.
const CLIENTS: usize = 3;

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let machine = |zone, service| MachineSpec { zone, service, sharded: service == "registre" };
    let mut fleet = Fleet::start(
        FleetSpec {
            machines: vec![
                machine("rennes", "registre"),
                machine("rennes", "atelier"),
                machine("brest", "atelier"),
            ],
            config: CONFIG.into(),
            bounds: BOUNDS,
            slots: 9,
            beat: Duration::from_millis(870),
            born: false,
            crashes: false,
        },
        folder,
    );
    let mut cut = 0;
    for bytes in PACK_BYTES {
        if !fleet.wait_until_served(HOST, "/pack/probe?ms=5", false, Duration::from_secs(20)) {
            note("not served in time");
            return Outcome::NotRun;
        }
        std::thread::sleep(Duration::from_secs(3));
        match play_round(&mut fleet, bytes, trouble) {
            Some(count) => cut += count,
            None => return Outcome::NotRun,
        }
        if trouble {
            fleet.kill_node(0);
            fleet.start_node(0, false);
        }
    }
    note(&format!("answers that ended early: {cut} of {}", CLIENTS * PACK_BYTES.len()));
    if cut > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Plays a round with packs of a length; returns how many answers ended early, `None` if a client found no node.
fn play_round(fleet: &mut Fleet, bytes: usize, trouble: bool) -> Option<usize> {
    let address = fleet.traffic(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let request = Call {
                budget: BUDGET,
                pause: Some(PAUSE),
                ..Call::get(HOST, &format!("/pack/font?ms={WORK_MS}&bytes={bytes}"))
            };
            std::thread::spawn(move || (request.id.clone(), call(address, &request)))
        })
        .collect();
    std::thread::sleep(SIGTERM_AFTER);
    let stopped_at = Instant::now();
    if trouble {
        note("SIGTERM to the node of machine 0");
        fleet.signal(0, SIGTERM);
    }
    let mut ended = false;
    while stopped_at.elapsed() < BUDGET - SIGTERM_AFTER {
        if !ended && let Some(status) = fleet.ended(0) {
            note(&format!("the node of machine 0 has ended: {status}"));
            ended = true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let done: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("no client panics")).collect();
    let cut = done.iter().filter(|(id, done)| is_cut(fleet, id, bytes, done.as_ref())).count();
    done.iter().all(|row| row.1.is_some()).then_some(cut)
}

/// Whether a request was passed on to a target and its connection ended, within its time budget, without the whole
/// answer; writes what happened.
fn is_cut(fleet: &Fleet, id: &str, bytes: usize, done: Option<&Done>) -> bool {
    let Some(done) = done else {
        note(&format!("{id}: no connection"));
        return false;
    };
    let runs = fleet.runs.lock().expect("no thread panics");
    let run = runs.iter().find(|run| run.id == id);
    let length = done.answer.as_ref().map_or(0, |answer| answer.body.len());
    let whole = done.answer.as_ref().is_some_and(|answer| answer.whole);
    let took = done.ended_at - done.sent_at;
    let began = run.map_or(0.0, |run| seconds(run.at));
    let ended = run.and_then(|run| run.ended).map_or(0.0, seconds);
    note_at(
        done.sent_at,
        &format!(
            "{id} sent; run by target {:?} from {began:.3} to {ended:.3}; status {}, {length} of {bytes} bytes, whole: \
         {whole}; the connection ended after {:.3} s",
            run.map(|run| run.target),
            done.status(),
            took.as_secs_f64(),
        ),
    );
    run.is_some() && !whole && took < BUDGET
}
