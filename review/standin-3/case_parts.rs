//! A target turns slow, so keys move away from it while it is at work. It releases those on which nothing runs at
//! once, and the others when their work has ended. Nobody else may be given a key before that.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::client::{CONFIG, Clients};
use crate::fleet::{Site, is_ready};
use crate::random::Random;
use crate::record::Record;
use crate::target::Targets;

const HOSTS: u8 = 6;
const CLIENTS: u64 = 32;

/// Work of an order in ms: 290 on average, half as much or more for some, as the sheet of the plate makers says.
fn work(random: &mut Random) -> u64 {
    let parts: f64 = (0..4).map(|_| random.part()).sum();
    (290.0 * (0.35 + parts * 0.325)) as u64
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    let site = Site::new(HOSTS);
    site.store.put("keyed.op", "config", CONFIG);
    let mut hosts: Vec<_> = (1..=HOSTS)
        .map(|number| {
            site.host(number, if number % 2 == 1 { "rennes" } else { "brest" }, "registre")
        })
        .collect();
    hosts.iter_mut().for_each(|host| site.start(host, true));
    let targets = Targets::new(record.clone(), work);
    let started: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| targets.start(&format!("i-{index}a91c2"), host))
        .collect();
    record.note(&format!("{HOSTS} hosts started, trouble: {trouble}"));
    let limit = Instant::now() + Duration::from_secs(8);
    while Instant::now() < limit {
        std::thread::sleep(Duration::from_millis(100));
    }
    if !hosts.iter().all(is_ready) || targets.grants.load(Ordering::SeqCst) == 0 {
        record.note("the deployment did not become ready: the case could not run");
        site.keep_logs(folder);
        return 2;
    }
    let clients = Clients::start(CLIENTS, &hosts, &record);
    record.note("traffic begins");
    std::thread::sleep(Duration::from_secs(6));
    for slow in [[2], [4], [0], [3], [1]] {
        let slow = slow.map(|index| &started[index]);
        if trouble {
            let names = slow.map(|target| &*target.id).join(" and ");
            record.note(&format!("{names} turns slow: its work takes 5 times as long"));
            slow.iter().for_each(|target| target.slow.store(5, Ordering::SeqCst));
        }
        std::thread::sleep(Duration::from_millis(6400));
        if trouble {
            record.note("it is as fast as before");
            slow.iter().for_each(|target| target.slow.store(1, Ordering::SeqCst));
        }
        std::thread::sleep(Duration::from_millis(4500));
    }
    let (counts, rows) = clients.stop();
    let broken = targets.broken.load(Ordering::SeqCst);
    record.note(&format!(
        "{counts}; targets ran {} and refused {}; {} replies gave keys",
        targets.runs.load(Ordering::SeqCst),
        targets.refused.load(Ordering::SeqCst),
        targets.grants.load(Ordering::SeqCst),
    ));
    record.note(&format!(
        "keys given away while another target was at work on them under its hold: {broken}"
    ));
    record.requests(rows, &targets.arrivals.lock().expect("a lock"));
    if targets.runs.load(Ordering::SeqCst) < 200 {
        record.note("too few requests ran: the case could not run");
        return 2;
    }
    i32::from(broken > 0)
}
