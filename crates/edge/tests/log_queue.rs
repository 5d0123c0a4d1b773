//! Tests of the log queue of a process whose log is not read.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use firspindle_edge::LogQueue;

/// Lines that are logged; several times as many as the socket and the queue hold.
const LINE_COUNT: u64 = 50_000;

/// Longest time that logging or draining may take.
const TIMEOUT: Duration = Duration::from_secs(5);

fn line(number: u64) -> String {
    format!("line {number} {}\n", "x".repeat(200))
}

/// A log that is not read must not block the threads that log. Lines that did not fit are counted,
/// and once the log is read again, no line appears twice or out of order.
#[test]
fn a_log_that_is_not_read_blocks_no_writer() {
    let (reader, writer) = UnixStream::pair().expect("a socket pair");
    let (mut queue, drain) = LogQueue::start(writer).expect("the thread starts");
    let started = Instant::now();
    for number in 0..LINE_COUNT {
        queue.write_all(line(number).as_bytes()).expect("the line is accepted");
    }
    assert!(started.elapsed() < TIMEOUT, "{:?}", started.elapsed());
    drain.wait(Duration::from_millis(50));
    let read = std::thread::spawn(move || {
        let lines = BufReader::new(reader).lines();
        lines.map(|line| line.expect("a line of text")).collect::<Vec<_>>()
    });
    // The thread writes the count only after another line, so one follows the dropped lines.
    drain.wait(TIMEOUT);
    queue.write_all(b"line 50000 end\n").expect("the line is accepted");
    drain.wait(TIMEOUT);
    drop(queue);
    let lines = read.join().expect("the thread does not panic");
    let dropped = lines
        .iter()
        .filter_map(|line| line.strip_prefix("log lines dropped, as the log was not read: "));
    let dropped: u64 = dropped.map(|count| count.parse::<u64>().expect("a count")).sum();
    let numbers: Vec<u64> = lines
        .iter()
        .filter_map(|line| line.strip_prefix("line ")?.split(' ').next()?.parse().ok())
        .collect();
    assert!(dropped > 0, "the queue is bounded");
    assert_eq!(numbers.len() as u64 + dropped, LINE_COUNT + 1);
    assert!(numbers.is_sorted_by(|a, b| a < b));
}

#[test]
fn all_lines_are_written_before_the_process_exits() {
    let (reader, writer) = UnixStream::pair().expect("a socket pair");
    let (mut queue, drain) = LogQueue::start(writer).expect("the thread starts");
    for number in 0..100 {
        queue.write_all(line(number).as_bytes()).expect("the line is accepted");
    }
    drain.wait(TIMEOUT);
    drop(queue);
    assert_eq!(BufReader::new(reader).lines().count(), 100);
}
