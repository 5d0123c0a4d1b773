//! A target that never reports `draining` leaves while the store is down: it sends DELETE, which is confirmed, and goes
//! on to serve for a while, as it did before. Then all processes are killed. When they are back, the store is up and
//! all are in touch again, no request may reach the target: `drainS` after the confirmation is long over.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::client::{CONFIG, Clients, sent_at};
use crate::fleet::{CONTROL, Site, is_ready};
use crate::http;
use crate::random::Random;
use crate::record::Record;
use crate::target::Targets;

const HOSTS: u8 = 5;
const CLIENTS: u64 = 20;
const ROUNDS: usize = 2;

/// `drainS` and `contactS` of the site, in seconds.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;

/// Length of the store's outage, in ms.
const OUTAGE: u64 = 7900;

/// Time from the beginning of the outage to the DELETE, and from its confirmation to the kill, in ms.
const STEP: u64 = 1000;

/// Time for which the processes are down, in ms.
const DOWN: u64 = 1600;

/// Time from the confirmation for which the target serves, in ms.
const SERVES: u64 = 14900;

fn work(random: &mut Random) -> u64 {
    200 + random.below(180)
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    let site = Site::new(HOSTS);
    site.store.put("keyed.op", "config", CONFIG);
    let zone = |number: u8| if number % 2 == 1 { "rennes" } else { "brest" };
    let mut hosts: Vec<_> =
        (1..=HOSTS).map(|number| site.host(number, zone(number), "registre")).collect();
    hosts.iter_mut().for_each(|host| site.start(host, true));
    let targets = Targets::new(record.clone(), work);
    let mut started: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| targets.start(&format!("i-{index}0"), host))
        .collect();
    record.note(&format!("{HOSTS} hosts started, trouble: {trouble}"));
    pause(8000);
    if !hosts.iter().all(is_ready) || targets.grants.load(Ordering::SeqCst) == 0 {
        record.note("the deployment did not become ready: the case could not run");
        site.keep_logs(folder);
        return 2;
    }
    let clients = Clients::start(CLIENTS, &hosts, &record);
    record.note("traffic begins");
    pause(4000);
    let (mut late, mut rounds) = (0, 0);
    for round in 0..ROUNDS {
        let index = round % hosts.len();
        let leaving = started[index].clone();
        let outage_at = Instant::now();
        if trouble {
            site.store.set_down(true);
            record.note("the store is down: it answers 503");
        }
        pause(STEP);
        let first = format!("DELETE /instances/{} HTTP/1.1", leaving.id);
        let answer = http::call(hosts[index].at(CONTROL), &first, &[], b"", Duration::from_secs(1));
        let (confirmed, confirmed_at) = (Instant::now(), record.at());
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!("DELETE of {} is answered {status}", leaving.id));
        if status / 100 != 2 {
            record.note("no confirmation: the case could not run");
            return 2;
        }
        let mut in_touch_at = 0.0;
        if trouble {
            pause(STEP);
            hosts.iter_mut().for_each(crate::fleet::Host::kill);
            record.note("all processes are killed");
            pause(DOWN);
            hosts.iter_mut().for_each(|host| site.start(host, false));
            record.note("all processes are started again");
            std::thread::sleep(Duration::from_millis(OUTAGE).saturating_sub(outage_at.elapsed()));
            site.store.set_down(false);
            record.note("the store is up again");
            in_touch_at = record.at() + CONTACT;
        }
        std::thread::sleep(Duration::from_millis(SERVES).saturating_sub(confirmed.elapsed()));
        let limit = in_touch_at.max(confirmed_at + DRAIN);
        let arrivals: Vec<_> = targets.arrivals.lock().expect("a lock").clone();
        let of_leaving = arrivals.iter().filter(|row| row.0 == leaving.id);
        let counted: Vec<_> =
            of_leaving.filter(|row| row.1 > limit && sent_at(&row.2) > in_touch_at).collect();
        for row in &counted {
            let after = row.1 - confirmed_at;
            record.row(&format!(
                "{} began to run {} at {:.3} s, {after:.3} s after the confirmation",
                row.0, row.2, row.1
            ));
        }
        record.note(&format!(
            "{} served until {:.3} s after the confirmation; requests that reached it later than {DRAIN} s after it, \
             sent and passed on by processes in touch: {}",
            leaving.id,
            record.at() - confirmed_at,
            counted.len()
        ));
        late += counted.len();
        rounds += 1;
        targets.exit(&leaving);
        pause(1500);
        started[index] = targets.start(&format!("i-{index}{}", round + 1), &hosts[index]);
        pause(6000);
    }
    let (counts, rows) = clients.stop();
    record.note(&format!("{counts}; targets ran {}", targets.runs.load(Ordering::SeqCst)));
    record.note(&format!("{rounds} rounds; requests that reached a target too late: {late}"));
    record.requests(rows, &targets.arrivals.lock().expect("a lock"));
    if targets.runs.load(Ordering::SeqCst) < 200 {
        record.note("too few requests ran: the case could not run");
        return 2;
    }
    i32::from(late > 0)
}
