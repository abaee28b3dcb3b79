//! Arguments of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand};
use cranberryhatch_types::ZoneId;
use strum::{Display, EnumString};

/// Submits work to cranberryhatch and operates it.
///
/// Exit codes: 0 success or complete answer; 1 local failure; 2 wrong usage; 3 not run;
/// 4 failed; 5 unknown, may have run; 6 no instance answers; 7 refused by a check or a token;
/// 8 somebody else changed the settings first; 9 still pending.
#[derive(Parser)]
#[command(name = "cranberryhatch", version)]
pub struct Args {
    /// How to reach the entry instances.
    #[command(flatten)]
    pub connection: Connection,
    /// Form of the output: text or json.
    #[arg(long, global = true, default_value_t = Output::Text)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to reach the entry instances.
#[derive(clap::Args)]
pub struct Connection {
    /// HTTP addresses of entry instances, by comma; the first that takes a connection is used.
    #[arg(long, global = true, value_delimiter = ',', env = "CRANBERRYHATCH_SERVER")]
    pub server: Vec<SocketAddr>,
    /// Token of the team or the operator.
    #[arg(long, global = true, env = "CRANBERRYHATCH_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
    /// Time allowed for one exchange, in seconds.
    #[arg(long, global = true, default_value_t = 10)]
    pub timeout: u64,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Output {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// What to do.
#[derive(Subcommand)]
pub enum Command {
    /// Reads and changes the settings tree.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Submits, follows and cancels jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Fetches idempotency keys that work without the platform.
    Keys {
        /// Number of keys.
        #[arg(default_value_t = 1)]
        count: u64,
    },
    /// Lists entry instances with the version of the settings in force at each.
    Instances,
    /// Lists workers.
    Workers,
    /// Drains and restores availability zones.
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Checks a settings tree without sending it.
    Check {
        /// File with the tree.
        file: PathBuf,
    },
    /// Prints what the logs of several instances say of one job, in order.
    Explain {
        /// Name of the job.
        job: String,
        /// Logs of the instances.
        #[arg(long, num_args = 1.., required = true)]
        log: Vec<PathBuf>,
    },
    /// Prints a completion script.
    Completion {
        /// Shell to complete for.
        shell: clap_complete::Shell,
    },
}

/// Commands on the settings tree.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Prints the tree, or the value of a key at a place after inheritance.
    Get {
        /// Place, such as "root", "team script" or "kind script/preview".
        path: Option<String>,
        /// Key, such as lease.task.
        key: Option<String>,
    },
    /// Sets a key at a place.
    Set {
        /// Place, such as "team script".
        path: String,
        /// Key, such as quota.slots.
        key: String,
        /// Value with its unit.
        value: String,
        /// Reason, for the audit trail.
        #[arg(long)]
        why: String,
    },
    /// Takes a key out at a place, so that it inherits again.
    Unset {
        /// Place, such as "team script".
        path: String,
        /// Key, such as quota.slots.
        key: String,
        /// Reason, for the audit trail.
        #[arg(long)]
        why: String,
    },
    /// Shows what importing a file would change.
    Diff {
        /// File with the tree.
        file: PathBuf,
    },
    /// Puts a whole tree in force.
    Import {
        /// File with the tree.
        file: PathBuf,
        /// Reason, for the audit trail.
        #[arg(long)]
        why: String,
    },
    /// Writes the tree to a file or to standard output.
    Export {
        /// File to write.
        file: Option<PathBuf>,
    },
    /// Lists changes: who, when, what and why.
    History,
}

/// Commands on availability zones.
#[derive(Subcommand)]
pub enum ZoneCommand {
    /// Places no new task on endpoints of a zone; tasks that run there end.
    Drain {
        /// Zone.
        zone: ZoneId,
        /// Reason, for the audit trail.
        #[arg(long, default_value = "zone drain")]
        why: String,
    },
    /// Places tasks on endpoints of a zone again.
    Restore {
        /// Zone.
        zone: ZoneId,
        /// Reason, for the audit trail.
        #[arg(long, default_value = "zone restore")]
        why: String,
    },
    /// Lists zones with what runs there.
    List,
}

/// Commands on jobs.
#[derive(Subcommand)]
pub enum JobCommand {
    /// Submits a job from a JSON file.
    Submit {
        /// File with the job's body, or - for standard input.
        file: PathBuf,
        /// Idempotency key; a new one is made without it.
        #[arg(long)]
        key: Option<String>,
        /// Waits for the answer this many seconds.
        #[arg(long, default_value_t = 0)]
        wait: u64,
    },
    /// Prints the state of a job.
    Status {
        /// Idempotency key.
        key: String,
    },
    /// Waits for a job's answer.
    Wait {
        /// Idempotency key.
        key: String,
        /// Longest wait in seconds.
        #[arg(long, default_value_t = 60)]
        wait: u64,
    },
    /// Cancels a job, or all jobs with a label.
    Cancel {
        /// Idempotency key.
        #[arg(required_unless_present = "label", conflicts_with = "label")]
        key: Option<String>,
        /// Label.
        #[arg(long)]
        label: Option<String>,
    },
}
