//! The log of a process whose reader does not read.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use firspindle_edge::LogQueue;

/// Lines that are logged; several times what a socket and the queue hold.
const LINES: u64 = 50_000;

/// Most time for what must not wait.
const LIMIT: Duration = Duration::from_secs(5);

fn line(number: u64) -> String {
    format!("line {number} {}\n", "x".repeat(200))
}

/// Logging goes on at once; what could not be kept is counted, and nothing is told twice or out
/// of order once the reader reads again.
#[test]
fn a_reader_that_does_not_read_holds_nobody_up() {
    let (reader, writer) = UnixStream::pair().expect("a pair");
    let (mut queue, drain) = LogQueue::start(writer).expect("a thread");
    let started = Instant::now();
    for number in 0..LINES {
        queue.write_all(line(number).as_bytes()).expect("taken");
    }
    assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
    drain.wait(Duration::from_millis(50));
    let read = std::thread::spawn(move || {
        let lines = BufReader::new(reader).lines();
        lines.map(|line| line.expect("text")).collect::<Vec<_>>()
    });
    // A line is written after the last one that was left out.
    drain.wait(LIMIT);
    queue.write_all(b"line 50000 end\n").expect("taken");
    drain.wait(LIMIT);
    drop(queue);
    let lines = read.join().expect("read");
    let left_out =
        lines.iter().filter_map(|line| line.strip_prefix("log lines left out, as nobody read: "));
    let left_out: u64 = left_out.map(|count| count.parse::<u64>().expect("a count")).sum();
    let numbers: Vec<u64> = lines
        .iter()
        .filter_map(|line| line.strip_prefix("line ")?.split(' ').next()?.parse().ok())
        .collect();
    assert!(left_out > 0, "the queue is bounded");
    assert_eq!(numbers.len() as u64 + left_out, LINES + 1);
    assert!(numbers.is_sorted_by(|a, b| a < b));
}

#[test]
fn what_was_logged_before_the_end_is_written() {
    let (reader, writer) = UnixStream::pair().expect("a pair");
    let (mut queue, drain) = LogQueue::start(writer).expect("a thread");
    for number in 0..100 {
        queue.write_all(line(number).as_bytes()).expect("taken");
    }
    drain.wait(LIMIT);
    drop(queue);
    assert_eq!(BufReader::new(reader).lines().count(), 100);
}
