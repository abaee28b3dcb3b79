//! Command line for callers and operators.

mod args;
mod client;
mod exit;
mod explain;
mod failure;
mod job;
mod output;
mod settings;
mod views;
mod zone;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::{
    args::{Args, Command},
    client::ApiClient,
    exit::Exit,
    failure::Failure,
};

fn main() -> ExitCode {
    let args = Args::parse();
    let exit = run(&args).unwrap_or_else(|failure| {
        eprintln!("cranberryhatch: {failure}");
        failure.exit()
    });
    ExitCode::from(exit.code())
}

fn run(args: &Args) -> Result<Exit, Failure> {
    match &args.command {
        Command::Completion { shell } => {
            let name = "cranberryhatch";
            clap_complete::generate(*shell, &mut Args::command(), name, &mut std::io::stdout());
            Ok(Exit::Success)
        }
        Command::Check { file } => settings::check(file),
        Command::Explain { job, log } => explain::run(job, log, args.output),
        command => {
            let client = ApiClient::new(&args.connection)?;
            match command {
                Command::Settings(command) => settings::run(&client, command, args.output),
                Command::Job(command) => job::run(&client, command, args.output),
                Command::Keys { count } => views::keys(&client, *count, args.output),
                Command::Instances => views::instances(&client, args.output),
                Command::Workers => views::workers(&client, args.output),
                Command::Zone(command) => zone::run(&client, command, args.output),
                Command::Completion { .. } | Command::Check { .. } | Command::Explain { .. } => {
                    Ok(Exit::Success)
                }
            }
        }
    }
}
