//! One process of a fleet.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// A child that is killed when dropped.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program of this workspace; its output goes to `log`.
    ///
    /// # Panics
    ///
    /// If the program cannot be started.
    pub fn start(program: &str, args: &[&str], log: &Path) -> Self {
        let path = program_path(program);
        let file = File::options().create(true).append(true).open(log).expect("log file opens");
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("log file clones"))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", path.display()));
        Self { child, log: log.to_owned() }
    }

    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// Never: a child has an id.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let _ = kill_process(pid.expect("a child has an id"), signal);
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it until [`FleetProcess::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Exit status, if it ends in time.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has written.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// Path of a program of this workspace, beside the running one.
///
/// # Panics
///
/// If it was not built.
pub fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the running program has a path");
    let mut directory = own.parent();
    while let Some(path) = directory {
        let candidate = path.join(program);
        if candidate.is_file() {
            return candidate;
        }
        directory = path.parent();
    }
    panic!("`{program}` is not built; run `cargo build --workspace`")
}
