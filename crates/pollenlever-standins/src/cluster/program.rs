use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::ClusterError;

/// A process of the deployment; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
}

impl Program {
    /// Starts a program of the workspace, or the one at an absolute path, with its output appended to `log`.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the program is missing or cannot be started.
    pub fn start(name: &str, args: &[String], log: &Path) -> Result<Program, ClusterError> {
        let path = find_program(name)?;
        let err = |source| ClusterError::process(format!("start {name}"), source);
        let out = File::options().create(true).append(true).open(log).map_err(err)?;
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone().map_err(err)?)
            .stderr(out)
            .spawn()
            .map_err(err)?;
        Ok(Program { name: name.to_owned(), child })
    }

    /// Process id, as the operating system assigned it.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM, on which nodes and targets shut down gracefully.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the process is gone.
    pub fn send_sigterm(&self) -> Result<(), ClusterError> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGHUP, on which a node reloads its settings.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the process is gone.
    pub fn send_sighup(&self) -> Result<(), ClusterError> {
        self.signal(Signal::SIGHUP)
    }

    /// Sends SIGSTOP, which suspends the process until [`Program::resume`].
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the process is gone.
    pub fn suspend(&self) -> Result<(), ClusterError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Sends SIGCONT, which resumes the process.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the process is gone.
    pub fn resume(&self) -> Result<(), ClusterError> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if it cannot be killed.
    pub fn kill(&mut self) -> Result<(), ClusterError> {
        let err = |source| ClusterError::process(format!("kill {}", self.name), source);
        self.child.kill().map_err(err)?;
        self.child.wait().map(drop).map_err(err)
    }

    fn signal(&self, signal: Signal) -> Result<(), ClusterError> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).map_err(|err| {
            ClusterError::process(format!("send {signal} to {}", self.name), err.into())
        })
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a program in the folder of the running one, or in its parent: test binaries are in a
/// subfolder of it.
fn find_program(name: &str) -> Result<PathBuf, ClusterError> {
    let exe = std::env::current_exe()
        .map_err(|err| ClusterError::process("find the path of the running program", err))?;
    let folder = exe.parent().unwrap_or(Path::new("."));
    let folders = [Some(folder), folder.parent()];
    let found = folders.into_iter().flatten().map(|it| it.join(name)).find(|it| it.is_file());
    found.ok_or_else(|| ClusterError::MissingProgram(folder.join(name)))
}
