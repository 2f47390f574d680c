use std::path::{Path, PathBuf};
use std::process::Command;

/// Exit code and output of a program.
pub(crate) struct Output {
    /// Exit code; `None` if a signal ended the program.
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Output {
    /// Returns exit code, stdout and stderr as one text for snapshots.
    pub(crate) fn text(&self) -> String {
        format!("exit {}\n{}{}", self.code.unwrap_or(-1), self.stdout, self.stderr)
    }
}

/// Runs the operator tool in the directory `examples`.
pub(crate) fn pollenlever(args: &[&str]) -> Output {
    run(Path::new(env!("CARGO_BIN_EXE_pollenlever")), args)
}

/// Runs the daemon in the directory `examples`.
pub(crate) fn pollenleverd(args: &[&str]) -> Output {
    run(Path::new(env!("CARGO_BIN_EXE_pollenleverd")), args)
}

fn run(program: &Path, args: &[&str]) -> Output {
    let examples: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let output = Command::new(program).args(args).current_dir(examples).output().unwrap();
    Output {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
