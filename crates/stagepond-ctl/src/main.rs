//! `stagepondctl`, the operators' command line. This file parses the arguments; each subcommand has a module
//! that does the work, prints the result and chooses the exit code.

mod tuf;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Manages what stagepond trusts and serves
#[derive(Parser)]
#[command(name = "stagepondctl", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// TUF metadata: create, sign, publish and verify a repository
    #[command(subcommand)]
    Tuf(tuf::Command),
}

fn main() -> ExitCode {
    let Cli { command: Command::Tuf(command) } = Cli::parse();
    tuf::run(command)
}
