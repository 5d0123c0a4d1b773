//! An answer of the log without end is given up before it fills the memory.

use std::time::Duration;

use firspindle::process::{LogClient, LogError};
use harness::EndlessServer;

/// Bytes that may leave the log: twice the largest message between nodes.
const MAX_READ_BYTES: u64 = 64 * 1024 * 1024;

/// Guards against a log whose answer fills the memory of every node that reads it.
#[test]
fn an_answer_of_the_log_without_end_is_given_up() {
    let server = EndlessServer::start();
    let log = LogClient::new(&format!("http://{}", server.address));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let read = runtime.block_on(log.read(1, Duration::ZERO));
    assert!(matches!(read, Err(LogError::NoAnswer { .. })), "{read:?}");
    std::thread::sleep(Duration::from_millis(100));
    assert!(server.sent() <= MAX_READ_BYTES, "{} bytes were read", server.sent());
}
