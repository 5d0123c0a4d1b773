//! A log writer that never holds up those who log.
//!
//! Lines go into a queue of bounded length; a thread of its own writes them. While whoever reads
//! the log does not, the queue fills and further lines are counted instead. The count is told
//! with the next line that is written.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait to be written; about 2 MB at 250 bytes each.
const QUEUE_LINES: usize = 8_192;

/// Time between looks at whether all is written.
const DRAIN_LOOK: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct QueueState {
    waiting: AtomicU64,
    left_out: AtomicU64,
}

/// The end of the queue that takes lines; each `write` is one line.
#[derive(Debug)]
pub struct LogQueue {
    tx: SyncSender<Box<[u8]>>,
    state: Arc<QueueState>,
}

/// Waits for what is in the queue, before the process ends.
#[derive(Debug, Clone)]
pub struct LogDrain {
    state: Arc<QueueState>,
}

impl LogQueue {
    /// A queue whose thread writes to `out`.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn start<W: Write + Send + 'static>(out: W) -> io::Result<(Self, LogDrain)> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
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
        self.state.waiting.fetch_add(1, Ordering::AcqRel);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.tx.try_send(line.into())
        {
            self.state.waiting.fetch_sub(1, Ordering::AcqRel);
            self.state.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogDrain {
    /// Waits until all lines are written, or a time has passed.
    pub fn wait(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.state.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            std::thread::sleep(DRAIN_LOOK);
        }
    }
}

/// Writes lines until the queue is closed. A line that cannot be written is counted.
fn write_lines<W: Write>(mut out: W, rx: &Receiver<Box<[u8]>>, state: &QueueState) {
    while let Ok(line) = rx.recv() {
        if out.write_all(&line).is_err() {
            state.left_out.fetch_add(1, Ordering::Relaxed);
        }
        let left_out = state.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 && writeln!(out, "log lines left out, as nobody read: {left_out}").is_err()
        {
            state.left_out.fetch_add(left_out, Ordering::Relaxed);
        }
        let _ = out.flush();
        state.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
