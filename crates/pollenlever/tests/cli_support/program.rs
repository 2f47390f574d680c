use std::path::{Path, PathBuf};
use std::process::Command;

/// What a program printed and its exit code.
pub(crate) struct Output {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Output {
    /// Exit code and all text, for snapshots.
    pub(crate) fn text(&self) -> String {
        format!("exit {}\n{}{}", self.code.unwrap_or(-1), self.stdout, self.stderr)
    }
}

/// Runs the operator tool in the folder of examples.
pub(crate) fn pollenlever(args: &[&str]) -> Output {
    run(Path::new(env!("CARGO_BIN_EXE_pollenlever")), args)
}

/// Runs the daemon in the folder of examples.
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
