//! A log writer that never blocks the threads that log.
//!
//! Lines go into a bounded queue, from which a dedicated thread writes them. If nothing reads the
//! log, the thread blocks and the queue fills up; further lines are then dropped and counted. The
//! thread writes the count in a line of its own, after the next line from the queue.
//!
//! Lines that [`LogLimiter`](super::LogLimiter) leaves out never reach the queue, and do not count as
//! dropped.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Most lines in the queue; about 2 MB at 250 bytes each.
const MAX_QUEUED_LINES: usize = 8_192;

/// Time between two checks whether all lines are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct QueueState {
    /// Lines that are in the queue or being written.
    queued: AtomicU64,
    /// Lines dropped since the count was last written.
    dropped: AtomicU64,
}

/// Sending end of the queue; each `write` is one line.
#[derive(Debug)]
pub struct LogQueue {
    tx: SyncSender<Box<[u8]>>,
    state: Arc<QueueState>,
}

/// Waits until the queue is empty, before the process exits.
#[derive(Debug, Clone)]
pub struct LogDrain {
    state: Arc<QueueState>,
}

impl LogQueue {
    /// Starts a thread that writes the lines of a new queue to `out`.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start<W: Write + Send + 'static>(out: W) -> io::Result<(Self, LogDrain)> {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let state = Arc::<QueueState>::default();
        let shared = state.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(out, &rx, &shared))?;
        Ok((Self { tx, state: state.clone() }, LogDrain { state }))
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.state.queued.fetch_add(1, Ordering::AcqRel);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.tx.try_send(line.into())
        {
            self.state.queued.fetch_sub(1, Ordering::AcqRel);
            self.state.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogDrain {
    /// Waits until all lines are written, but at most for `timeout`.
    pub fn wait(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.state.queued.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

/// Writes lines until the queue is closed. A line that cannot be written counts as dropped.
fn write_lines<W: Write>(mut out: W, rx: &Receiver<Box<[u8]>>, state: &QueueState) {
    while let Ok(line) = rx.recv() {
        if out.write_all(&line).is_err() {
            state.dropped.fetch_add(1, Ordering::Relaxed);
        }
        let dropped = state.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0
            && writeln!(out, "log lines dropped, as the log was not read: {dropped}").is_err()
        {
            state.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        let _ = out.flush();
        state.queued.fetch_sub(1, Ordering::AcqRel);
    }
}
