//! A process that a chore started.

use std::{
    fs::OpenOptions,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};

use crate::cleanup;

/// Time allowed for a process to stop after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// A process that a chore started; dropping it kills the process.
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its HTTP address.
    pub addr: SocketAddr,
    command: Command,
    child: Option<Child>,
}

impl Process {
    /// Starts a process whose output goes to a log in `folder`.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start(
        name: &str,
        addr: SocketAddr,
        mut command: Command,
        folder: &Path,
    ) -> Result<Self> {
        let path = folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(path)?;
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let mut process = Self { name: name.to_owned(), addr, command, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Id of the process, 0 when it has ended.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Starts the process again after it has ended.
    ///
    /// # Errors
    /// When it still runs or cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        ensure!(self.child.is_none(), "{} still runs", self.name);
        let child = self.command.spawn().with_context(|| format!("start {}", self.name))?;
        cleanup::add(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Whether it was started and neither stopped nor killed by the chore.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Fails when the process has ended by itself.
    ///
    /// # Errors
    /// When it has ended although nobody stopped it.
    pub fn check(&mut self) -> Result<()> {
        if let Some(child) = &mut self.child
            && let Some(status) = child.try_wait()?
        {
            cleanup::remove(child.id());
            self.child = None;
            anyhow::bail!("{} ended by itself with {status}", self.name);
        }
        Ok(())
    }

    /// Sends a signal by name, such as `STOP`.
    ///
    /// # Errors
    /// When the signal cannot be sent.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let child = self.child.as_ref().with_context(|| format!("{} does not run", self.name))?;
        let id = child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(id).status()?;
        ensure!(status.success(), "signal {signal} to {}", self.name);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already needs no kill.
            let _ = child.kill();
            let _ = child.wait();
            cleanup::remove(child.id());
        }
    }

    /// Stops the process and checks that it ends well.
    ///
    /// # Errors
    /// When it does not end in time or ends with a failure.
    pub fn stop(&mut self) -> Result<()> {
        if self.child.is_none() {
            return Ok(());
        }
        self.signal("TERM")?;
        let limit = Instant::now() + STOP_LIMIT;
        loop {
            if self.has_ended()? {
                return Ok(());
            }
            ensure!(Instant::now() < limit, "{} did not stop", self.name);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Whether the process has ended after a signal to stop.
    ///
    /// # Errors
    /// When it ended with a failure.
    pub fn has_ended(&mut self) -> Result<bool> {
        let Some(child) = &mut self.child else { return Ok(true) };
        let Some(status) = child.try_wait()? else { return Ok(false) };
        cleanup::remove(child.id());
        self.child = None;
        ensure!(status.success(), "{} ended with {status}", self.name);
        Ok(true)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
