//! A child process of a fleet.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    output_path: PathBuf,
}

impl FleetProcess {
    /// Starts a program of this workspace; its stdout and stderr are appended to `output_path`.
    ///
    /// # Panics
    ///
    /// If the program is not built or cannot be started, or the output file cannot be opened.
    pub fn start(program: &str, args: &[&str], output_path: &Path) -> Self {
        let path = program_path(program);
        let file = File::options()
            .create(true)
            .append(true)
            .open(output_path)
            .expect("the output file can be opened");
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("the output file can be cloned"))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("starting {} failed: {error}", path.display()));
        Self { child, output_path: output_path.to_owned() }
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// Never in practice: a child always has a valid process id.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let _ = kill_process(pid.expect("a child has a valid process id"), signal);
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP` until [`FleetProcess::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process exits and returns its status, or `None` after `max_wait`.
    pub fn wait(&mut self, max_wait: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + max_wait;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Returns the id that the operating system gave the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that the process has written to stdout and stderr.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output_path).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// Returns the path of a program of this workspace, searched for in the directory of the running
/// executable and its parents.
///
/// # Panics
///
/// If the program has not been built.
pub fn program_path(program: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the running executable has a path");
    let mut directory = current.parent();
    while let Some(path) = directory {
        let candidate = path.join(program);
        if candidate.is_file() {
            return candidate;
        }
        directory = path.parent();
    }
    panic!("`{program}` is not built; run `cargo build --workspace`")
}
