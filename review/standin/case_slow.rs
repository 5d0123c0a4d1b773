//! Case `slow`: clients read downloads slowly while the machine that took them is stopped by a SIGTERM.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HostSpec, Record, Terms, desired_state, has_trouble, signal};
use crate::http::{connect, head_text, header, read_head};
use crate::store::Store;
use crate::target::body_of;

const CLIENTS: usize = 8;
const BODY: usize = 540_000;
/// Time for which a slow client reads nothing, after the head of the answer.
const PAUSE: Duration = Duration::from_millis(2_000);

/// Receive buffer of a client in bytes, which the system doubles: links have small windows.
const WINDOW: i32 = 32 * 1024;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds the receive buffer of a connection (SOL_SOCKET, SO_RCVBUF).
fn bound_window(stream: &TcpStream) {
    // SAFETY: the descriptor is open, and the value is as long as stated.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &WINDOW, 4) };
}

/// How a client's request ended.
struct End {
    whole: bool,
    bytes: usize,
    took: Duration,
    error: String,
}

pub fn play(directory: &str) -> i32 {
    let record = Record::new(directory);
    let trouble = has_trouble();
    record.line(&format!("disruption: {trouble}"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", desired_state().as_bytes());
    let mut fleet = Fleet::new(record.clone(), address, Terms::usual());
    let hosts = [HostSpec::new("a", "atelier", false), HostSpec::new("b", "atelier", false)];
    let mut nodes: Vec<_> = hosts.iter().map(|host| fleet.start_node(host, true)).collect();
    let _targets: Vec<_> = hosts.iter().map(|host| fleet.start_target(host)).collect();
    fleet.wait_ready(&[&hosts[0], &hosts[1]], Duration::from_secs(10));
    std::thread::sleep(Duration::from_secs(5));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (host, record) = (hosts[0].clone(), record.clone());
            std::thread::spawn(move || download(&host, &record, index, trouble))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    record.line("SIGTERM to node a");
    if std::env::var_os("NOTERM").is_none() {
        signal(nodes[0].id(), "TERM");
    }
    let ends: Vec<End> = clients.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let until = Instant::now() + Duration::from_secs(7);
    while !nodes[0].has_ended() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    record.line("node a has ended");
    fleet.record_events();
    let runs = fleet.events_of("end").len();
    let cut = ends.iter().filter(|end| !end.whole).count();
    record.line(&format!(
        "{CLIENTS} downloads, {runs} runs that the targets ended with 200, {cut} connections that ended without a \
         complete answer"
    ));
    if runs < CLIENTS {
        return 2;
    }
    i32::from(cut > 0)
}

fn download(host: &HostSpec, record: &Record, index: usize, slow: bool) -> End {
    let id = format!("d{index:04}");
    let started = Instant::now();
    let result = read_slowly(host, &id, index, slow);
    let took = started.elapsed();
    let end = match result {
        Ok(bytes) => {
            let whole = bytes == body_of(&id, BODY);
            End { whole, bytes: bytes.len(), took, error: String::new() }
        }
        Err((bytes, error)) => End { whole: false, bytes, took, error: error.to_string() },
    };
    record.line(&format!(
        "download {id} to node {}: {} of {BODY} bytes after {:.2} s of 6 s, whole: {} {}",
        host.name, end.bytes, end.took.as_secs_f64(), end.whole, end.error
    ));
    end
}

fn read_slowly(
    host: &HostSpec,
    id: &str,
    index: usize,
    slow: bool,
) -> Result<Vec<u8>, (usize, std::io::Error)> {
    let none = |error| (0, error);
    let mut stream = connect(host.traffic, Duration::from_secs(7)).map_err(none)?;
    bound_window(&stream);
    let path = format!("/pack/w400/s{BODY}/{index}");
    let headers = [("Host", "shop.example"), ("X-Request-Id", id), ("X-Deadline-Ms", "6000")];
    stream.write_all(head_text("GET", &path, &headers, 0).as_bytes()).map_err(none)?;
    let mut reader = BufReader::with_capacity(1_024, stream);
    let (status, headers) = read_head(&mut reader).map_err(none)?;
    let length: usize =
        header(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if status != 200 || length != BODY {
        return Err((0, std::io::Error::other(format!("status {status}, length {length}"))));
    }
    if slow {
        std::thread::sleep(PAUSE);
    }
    let mut body = Vec::new();
    let mut part = [0; 16 * 1024];
    while body.len() < length {
        match reader.read(&mut part) {
            Ok(0) => return Err((body.len(), std::io::ErrorKind::UnexpectedEof.into())),
            Ok(read) => body.extend_from_slice(&part[..read]),
            Err(error) => return Err((body.len(), error)),
        }
    }
    Ok(body)
}
