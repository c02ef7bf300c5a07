//! The laboratory's command line. It owns the choice of what to run and how it is told; nothing else.

use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand};
use stagepond_lab::leadership::proof;
use stagepond_lab::leadership::world::World;
use stagepond_leadership::planted::Fault;

/// Worlds on a virtual clock, with drawn faults and accounts that check.
#[derive(Parser)]
#[command(name = "stagepond-lab", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prove leadership: seeded worlds without a broken rule, and every planted fault found
    ProveLeadership {
        /// Moves every seed that is used
        #[arg(long, default_value_t = 1, env = "SEED")]
        seed: u64,
        /// How many worlds
        #[arg(long, default_value_t = 3000)]
        runs: u64,
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Run one seed of leadership's world and tell what happens in it
    ReplayLeadership {
        seed: u64,
        /// A planted fault to run it with, by its name
        #[arg(long)]
        planted: Option<String>,
        /// Only the outcome
        #[arg(long)]
        quiet: bool,
    },
}

fn planted(name: &str) -> Option<Fault> {
    Fault::ALL.into_iter().find(|fault| format!("{fault:?}") == name)
}

fn prove_leadership(seed: u64, runs: u64, threads: usize) -> ExitCode {
    let begun = Instant::now();
    let from = seed.wrapping_mul(1_000_000);
    let sum = proof::seeds(from, runs, threads);
    for (seed, broken) in sum.broken.iter().take(10) {
        println!("seed {seed}: {broken}\n    replay: cargo run --release -p stagepond-lab -- replay-leadership {seed}");
    }
    let mut found = 0;
    for fault in Fault::ALL {
        match proof::find(fault, from, 1500, threads) {
            Some((seed, broken)) => {
                found += 1;
                println!("planted {fault:?}: found by seed {seed}: {broken}");
            }
            None => println!("planted {fault:?}: NOT FOUND"),
        }
    }
    println!(
        "leadership: seeds={} broken={} planted={found}/{} unequal_traces={} leaders={} decrees={} acts={} \
         acts_stopped={} foundings={} lost_with_memory={} steps={} seconds={:.1}",
        sum.runs,
        sum.broken.len(),
        Fault::ALL.len(),
        sum.unequal_traces,
        sum.leaders,
        sum.decrees,
        sum.acts,
        sum.refused_acts,
        sum.foundings,
        sum.lost_with_memory,
        sum.steps,
        begun.elapsed().as_secs_f64(),
    );
    let short = !sum.broken.is_empty() || found < Fault::ALL.len() || sum.unequal_traces > 0;
    if short || sum.runs == 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn replay_leadership(seed: u64, name: Option<String>, quiet: bool) -> ExitCode {
    let plan = match name.as_deref().map(planted) {
        None => proof::plan(seed, None),
        Some(Some(fault)) => proof::provoke(seed, fault),
        Some(None) => {
            eprintln!("stagepond-lab: no such planted fault; there are {:?}", Fault::ALL);
            return ExitCode::from(2);
        }
    };
    println!("{} instances, durable {}", plan.bounds.seats, plan.bounds.durable);
    plan.script.iter().for_each(|s| println!("{:>9.1} {:?}", s.at.0 as f64 / 10.0, s.fault));
    let mut world = World::new(plan);
    world.verbose = !quiet;
    let outcome = world.run();
    println!("{outcome:#?}");
    if outcome.broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    match Line::parse().command {
        Command::ProveLeadership { seed, runs, threads } => prove_leadership(seed, runs, threads),
        Command::ReplayLeadership { seed, planted, quiet } => replay_leadership(seed, planted, quiet),
    }
}
