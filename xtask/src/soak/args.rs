//! Arguments of a long run.

use std::time::Duration;

use clap::Args;
use cranberryhatch_standin::check::Rule;
use strum::IntoEnumIterator;

use crate::soak::FaultKind;

/// Seconds of a run for which no length is given.
const DEFAULT_SECONDS: u64 = 60;

/// Arguments of a long run.
#[derive(Clone, Debug, Args)]
pub struct SoakArgs {
    /// Seed of arrivals and faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length in minutes.
    #[arg(long, conflicts_with = "seconds")]
    pub minutes: Option<u64>,
    /// Length in seconds.
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Kinds of faults, separated by commas; all when left out, `none` for none.
    #[arg(long)]
    pub faults: Option<String>,
    /// Submissions per second.
    #[arg(long, default_value_t = 20)]
    pub rate: u32,
    /// Uses binaries that are not optimised.
    #[arg(long)]
    pub debug: bool,
    /// Rules that are known to fail: they are printed, but do not decide.
    #[arg(long, value_delimiter = ',')]
    pub pass_over: Vec<Rule>,
    /// Leaves out the rules that a slow machine can break.
    #[arg(long)]
    pub untimed: bool,
}

impl SoakArgs {
    /// The run that belongs to the tests.
    #[must_use]
    pub fn short() -> Self {
        Self {
            seed: 1,
            minutes: None,
            seconds: Some(20),
            faults: None,
            rate: 20,
            debug: true,
            untimed: true,
            pass_over: Vec::new(),
        }
    }

    /// Length of the run, without its start and its end.
    #[must_use]
    pub fn length(&self) -> Duration {
        let seconds = self.minutes.map(|minutes| minutes * 60).or(self.seconds);
        Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS))
    }

    /// The kinds of faults.
    ///
    /// # Errors
    /// When a kind is not known.
    pub fn kinds(&self) -> Result<Vec<FaultKind>, strum::ParseError> {
        match self.faults.as_deref() {
            None => Ok(FaultKind::iter().collect()),
            Some("none") => Ok(Vec::new()),
            Some(names) => names.split(',').map(|name| name.trim().parse()).collect(),
        }
    }

    /// The command that repeats the run.
    #[must_use]
    pub fn command(&self) -> String {
        let mut text = format!(
            "cargo xtask soak --seed {} --seconds {} --rate {}",
            self.seed,
            self.length().as_secs(),
            self.rate
        );
        if let Some(faults) = &self.faults {
            text += &format!(" --faults {faults}");
        }
        text += if self.debug { " --debug" } else { "" };
        text += if self.untimed { " --untimed" } else { "" };
        for rule in &self.pass_over {
            text += &format!(" --pass-over {rule}");
        }
        text
    }
}
