//! Runs instances of the decision module on the simulator's line protocol: events on standard input, actions
//! on standard output. The adapter translates and takes no decisions.

mod wire;

use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match wire::run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagepond-simhost: {error:#}");
            ExitCode::FAILURE
        }
    }
}
