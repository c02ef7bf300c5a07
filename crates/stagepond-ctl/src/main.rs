//! The operators' command line. It owns the words on it, the tables and the exit codes; what it does stands in
//! the modules beside it.

mod tuf;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Works on what stagepond trusts and serves.
#[derive(Parser)]
#[command(name = "stagepondctl", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Signed metadata: make, sign, publish and verify a repository
    #[command(subcommand)]
    Tuf(tuf::Command),
}

fn main() -> ExitCode {
    let Line { command: Command::Tuf(command) } = Line::parse();
    tuf::run(command)
}
