//! The small installation of the cases with reports of another writer, with the bounds of `vondracek-mill-grown`.

use std::path::Path;
use std::time::Duration;

use crate::fleet::{Fleet, FleetSpec, MachineSpec};
use crate::record::note;
use crate::target::{exchange, unix_ms};

/// Host of the route.
pub const HOST: &str = "mill.example";

/// Service whose keys the targets hold.
const SERVICE: &str = "stock-view";

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","prefix","kind","timeoutS","aimS","priority","trafficSplit","maxAttempts","service"],"rows":[["stock-lookup","mill.example","/stock/","idempotent",1.2,0.3,2,null,2,"stock-view"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls","sharded","warmS","grants"],"rows":[["stock-view","/healthz",470,"h1",false,true,2.0,"heartbeat"]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":5}"#;

const BOUNDS: &str = "apply_s = 2.5\ndrain_s = 2.5\ngrace_s = 6\nhold_limit_s = 10\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 176\nlink_mbps = 200\nmemory_mb = 260\n";

/// Starts three machines with a target each; `None` if not all keys are served in time.
pub fn start(folder: &Path) -> Option<Fleet> {
    let zones = ["morava-a", "morava-b", "morava-c"];
    let machines = zones.map(|zone| MachineSpec { zone, service: SERVICE, sharded: true }).to_vec();
    let spec = FleetSpec {
        machines,
        config: CONFIG.into(),
        bounds: BOUNDS,
        slots: 6,
        beat: Duration::from_millis(870),
        born: true,
    };
    let fleet = Fleet::start(spec, folder);
    if fleet.wait_until_served(HOST, "/stock/probe?ms=5", true, Duration::from_secs(30)) {
        return Some(fleet);
    }
    note("not all keys were served in time");
    None
}

/// Sends the report of another writer to the node of a machine: whole, but for a service that no desired state names.
pub fn send_report(fleet: &Fleet, index: usize) {
    let body = format!(
        "{{\"service\":\"loom-cards\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":1,\"born\":{}}}",
        fleet.app(index),
        fleet.machines[index].spec.zone,
        unix_ms(),
    );
    let path = format!("/instances/i-other-writer-{index}");
    note(&format!("report of another writer to machine {index}: PUT {path} {body}"));
    let answer = exchange(fleet.control(index), "PUT", &path, body.as_bytes());
    note(&format!("answered: {answer:?}"));
}

/// Writes how many keys each target holds, and what it was answered last.
pub fn show_holds(fleet: &Fleet) {
    for index in 0..fleet.machines.len() {
        let target = fleet.target(index);
        let answers = target.answers.lock().expect("no thread panics");
        note(&format!(
            "target {index} holds {} keys; last answers to its reports (status, with holds): {:?}",
            target.held_count(),
            answers.iter().rev().take(3).map(|row| (row.1, row.2)).collect::<Vec<_>>(),
        ));
    }
}
