//! What the build needs besides the Rust toolchain.

use std::process::{Command, Stdio};

/// Exit code of a chore that stops because the machine lacks something.
pub const EXIT_CODE: u8 = 2;

/// The machine lacks something that chores cannot install.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetupError {
    /// `cmake`, which the build of `nng` runs.
    #[error("cmake is missing; install it, for example with: apt-get install cmake")]
    Cmake,
}

/// What the machine offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Whether `cmake` runs.
    pub cmake: bool,
    /// Whether Debian's package manager is there and may install.
    pub installs: bool,
}

/// What is to be done before a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Build,
    /// Install `cmake` first.
    Install,
    /// Tell the user what to install.
    Stop,
}

impl Machine {
    /// Looks at this machine.
    #[must_use]
    pub fn look() -> Self {
        let root = rustix::process::geteuid().is_root();
        Self { cmake: runs("cmake"), installs: root && runs("apt-get") }
    }

    /// The next step towards a build.
    #[must_use]
    pub const fn step(self) -> Step {
        match self {
            Self { cmake: true, .. } => Step::Build,
            Self { installs: true, .. } => Step::Install,
            Self { .. } => Step::Stop,
        }
    }
}

/// Brings what the build needs, and says so before it installs anything.
///
/// # Errors
/// When something is missing and cannot be installed.
pub fn prepare() -> Result<(), SetupError> {
    let machine = Machine::look();
    if machine.step() == Step::Install {
        println!("cmake is missing: running apt-get install cmake");
        // Whether both worked is seen below.
        let _ = [&["update", "-qq"][..], &["install", "-y", "-qq", "cmake"][..]].map(apt_get);
    }
    if machine.cmake || runs("cmake") { Ok(()) } else { Err(SetupError::Cmake) }
}

fn apt_get(args: &[&str]) -> bool {
    let status = Command::new("apt-get").args(args).stdout(Stdio::null()).status();
    status.is_ok_and(|status| status.success())
}

fn runs(program: &str) -> bool {
    let mut command = Command::new(program);
    let command = command.arg("--version").stdout(Stdio::null()).stderr(Stdio::null());
    command.status().is_ok_and(|status| status.success())
}
