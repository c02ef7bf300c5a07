//! The laboratory's command line. It owns the choice of what to run and how it is told; nothing else.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use stagepond_lab::leadership::measure::{self, Disruption};
use stagepond_lab::leadership::simulation::Simulation;
use stagepond_lab::leadership::{model, processes, proof};
use stagepond_leadership::ids::Tenths;
use stagepond_leadership::planted::Fault;

/// Worlds on a virtual clock, with drawn faults and accounts that check.
#[derive(Parser)]
#[command(name = "stagepond-lab", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

/// What to do, and to which subsystem: more subsystems will follow.
#[derive(Subcommand)]
#[allow(clippy::enum_variant_names)]
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
        /// The program for the part with real processes; the one beside this unless given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Prove TUF: every attack refused for its reason, every good pack passed, planted faults found
    ProveTuf {
        /// Moves every seed that is used
        #[arg(long, default_value_t = 1, env = "SEED")]
        seed: u64,
        /// How many repositories
        #[arg(long, default_value_t = 40)]
        runs: u64,
        /// Pairs of attacks on each
        #[arg(long, default_value_t = 60)]
        pairs: usize,
        /// The program for the part on sockets; the one beside this unless given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure time without a leader, detection and its cost, decrees a second; prints tables
    MeasureLeadership {
        #[arg(long, default_value_t = 200)]
        runs: u64,
        /// With a thousand members too: takes minutes
        #[arg(long)]
        large: bool,
    },
    /// Measure TUF: the index against a plain map, checking against copying, signatures a second
    MeasureTuf {
        #[arg(long, default_value_t = 1_000_000)]
        targets: usize,
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

/// The most failures of one kind that a proof prints.
const MAX_FAILURES_SHOWN: usize = 10;
/// Each planted fault of leadership must be found within this many seeds.
const PLANTED_FAULT_SEEDS: u64 = 8000;
/// Longest time for the model checks.
const MODEL_CHECK_TIME: Duration = Duration::from_secs(12);
/// The proof of TUF must run more attacks than this against the program.
const MIN_SOCKET_ATTACKS: usize = 40;

/// Returns the planted fault of leadership with this name.
fn planted_fault(name: &str) -> Option<Fault> {
    Fault::ALL.into_iter().find(|fault| format!("{fault:?}") == name)
}

/// Returns the path of the program to test: the given one, or `stagepond` in the folder of this executable.
fn program_path(program: Option<PathBuf>) -> PathBuf {
    let default = || std::env::current_exe().map(|lab| lab.with_file_name("stagepond"));
    program.unwrap_or_else(|| default().unwrap_or_else(|_| "stagepond".into()))
}

fn exit_code(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn prove_leadership(seed: u64, runs: u64, threads: usize, program: Option<PathBuf>) -> ExitCode {
    let begun = Instant::now();
    let from = seed.wrapping_mul(1_000_000);
    // Real processes need their time whatever the machine does: they run beside the rest.
    let played = std::thread::spawn(move || processes::prove(&program_path(program), seed));
    let sum = proof::run_seeds(from, runs, threads);
    for (seed, broken) in sum.violations.iter().take(10) {
        println!("seed {seed}: {broken}\n    replay: cargo run --release -p stagepond-lab -- replay-leadership {seed}");
    }
    let mut found = 0;
    for fault in Fault::ALL {
        match proof::find_planted(fault, from, PLANTED_FAULT_SEEDS, threads) {
            Some((seed, broken)) => {
                found += 1;
                println!("planted {fault:?}: found by seed {seed}: {broken}");
            }
            None => println!("planted {fault:?}: NOT FOUND"),
        }
    }
    let checked = model::run_checks(threads, MODEL_CHECK_TIME);
    let mut states = 0;
    for (name, depth, checked) in &checked {
        states += checked.states;
        let all = if checked.complete { "all" } else { "a part of the" };
        println!(
            "model {name}: {all} {} states to depth {depth}, broken: {:?}",
            checked.states, checked.violated
        );
    }
    let model_well = checked.iter().all(|(_, _, c)| c.violated.is_empty() && c.complete);
    let model_sees = model::detects_planted_fault(threads);
    println!("model: planted HoldIgnored seen: {model_sees}");
    let played = match played.join() {
        Ok(Ok(seen)) => Some(seen),
        Ok(Err(error)) => {
            println!("processes: {error:#}");
            None
        }
        Err(_) => None,
    };
    if let Some(seen) = &played {
        seen.violations.iter().for_each(|broken| println!("processes: {broken}"));
        println!("processes: from the trouble to the next leader, ms: {:?}", seen.failover_ms);
    }
    let seen = played.clone().unwrap_or_default();
    println!(
        "leadership: seeds={} broken={} planted={found}/{} unequal_traces={} leaders={} decrees={} acts={} \
         acts_stopped={} foundings={} lost_with_memory={} model_states={states} model_broken={} \
         processes_leaders={} processes_votes={} processes_votes_stopped={} processes_broken={} answered={} \
         released={} seconds={:.1}",
        sum.runs,
        sum.violations.len(),
        Fault::ALL.len(),
        sum.unequal_traces,
        sum.leaders,
        sum.committed_entries,
        sum.actions,
        sum.refused_actions,
        sum.bootstraps,
        sum.entries_lost_with_memory,
        checked.iter().map(|(_, _, c)| c.violated.len()).sum::<usize>(),
        seen.leaders,
        seen.votes,
        seen.votes_stopped,
        seen.violations.len(),
        seen.answered,
        seen.released,
        begun.elapsed().as_secs_f64(),
    );
    let seeds_well =
        sum.violations.is_empty() && found == Fault::ALL.len() && sum.unequal_traces == 0 && sum.runs > 0;
    let processes_well = played.is_some_and(|seen| seen.violations.is_empty() && seen.released);
    exit_code(seeds_well && model_well && model_sees && processes_well)
}

fn prove_tuf(seed: u64, runs: u64, pairs: usize, program: Option<PathBuf>) -> ExitCode {
    use stagepond_lab::tuf::{attacks, proof, sockets};
    use stagepond_tuf::planted::Fault;
    let start = Instant::now();
    let socket_proof = std::thread::spawn(move || sockets::prove(&program_path(program), seed));
    let mut total = proof::Summary::default();
    for run in 0..runs {
        let summary = proof::run_attacks(seed.wrapping_mul(1000) + run, pairs);
        total.attacks += summary.attacks;
        total.refused += summary.refused;
        total.pairs += summary.pairs;
        total.pairs_refused += summary.pairs_refused;
        total.honest_fetches += summary.honest_fetches;
        total.honest_fetches_passed += summary.honest_fetches_passed;
        total.passed_unverified += summary.passed_unverified;
        total.unexpected_errors.extend(summary.unexpected_errors);
        total.accepted.extend(summary.accepted);
    }
    total.accepted.iter().take(MAX_FAILURES_SHOWN).for_each(|attack| println!("PASSED: {attack}"));
    total
        .unexpected_errors
        .iter()
        .take(MAX_FAILURES_SHOWN)
        .for_each(|error| println!("for another reason: {error}"));
    let mut planted_found = 0;
    for fault in Fault::ALL {
        match proof::find_planted(fault, seed) {
            Some(attack) => {
                planted_found += 1;
                println!("planted {fault:?}: shown by {attack:?}");
            }
            None => println!("planted {fault:?}: NOT FOUND"),
        }
    }
    // A proof that failed to run leaves the default report, in which nothing has passed.
    let sockets = match socket_proof.join() {
        Ok(Ok(report)) => report,
        Ok(Err(error)) => {
            println!("sockets: {error:#}");
            sockets::SocketReport::default()
        }
        Err(_) => sockets::SocketReport::default(),
    };
    sockets.failures.iter().for_each(|failure| println!("sockets: {failure}"));
    println!(
        "tuf: attacks={} refused={} other_reason={} pairs={} pairs_refused={} good={} good_passed={} \
         planted={planted_found}/{} control_passed={} kinds={} sockets_attacks={} sockets_refused={} \
         sockets_good={} sockets_control={} seconds={:.1}",
        total.attacks,
        total.refused,
        total.unexpected_errors.len(),
        total.pairs,
        total.pairs_refused,
        total.honest_fetches,
        total.honest_fetches_passed,
        Fault::ALL.len(),
        total.passed_unverified,
        attacks::Attack::ALL.len(),
        sockets.attacks,
        sockets.refused,
        sockets.honest_passed,
        sockets.passed_unverified,
        start.elapsed().as_secs_f64(),
    );
    let proved = total.refused == total.attacks
        && total.unexpected_errors.is_empty()
        && total.pairs_refused == total.pairs
        && total.honest_fetches_passed == total.honest_fetches
        && planted_found == Fault::ALL.len()
        && total.passed_unverified > 0
        && sockets.failures.is_empty()
        && sockets.attacks > MIN_SOCKET_ATTACKS
        && sockets.honest_passed
        && sockets.passed_unverified
        && total.attacks > 0;
    exit_code(proved)
}

fn measure_tuf(targets: usize) -> ExitCode {
    use stagepond_lab::tuf::measure;
    let index = measure::compare_index(targets);
    println!("| {} targets | packed index | plain map |", index.targets);
    println!("| --- | --- | --- |");
    println!("| bytes for each | {:.1} | {:.1} |", index.index_bytes, index.map_bytes);
    println!("| microseconds a look-up | {:.2} | {:.2} |", index.index_lookup_us, index.map_lookup_us);
    let time = measure::verification_time(5 << 20);
    println!();
    println!(
        "a pack of 5 MiB in pieces of 16 KiB: {:.2} ms to check, {:.2} ms to copy",
        time.verify_ms, time.copy_ms
    );
    println!("Ed25519 signatures verified a second: {:.0}", measure::signatures_per_second());
    ExitCode::SUCCESS
}

fn ms(t: Tenths) -> String {
    if t == Tenths::NEVER {
        return "never".into();
    }
    format!("{:.0}", t.0 as f64 / 10.0)
}

fn measure_leadership(runs: u64, large: bool) -> ExitCode {
    println!("| trouble | instances | runs | without a leader, median ms | most ms | bound ms | ratio |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (trouble, seats) in [
        (Disruption::Crash, 3),
        (Disruption::Pause, 3),
        (Disruption::Cut, 3),
        (Disruption::HandOver, 3),
        (Disruption::Crash, 5),
    ] {
        let gap = measure::failover_time(trouble, seats, runs);
        let (median, most, bound) = (ms(gap.median), ms(gap.max), ms(gap.bound));
        println!(
            "| {trouble:?} | {seats} | {} | {median} | {most} | {bound} | {:.2} |",
            gap.runs,
            gap.ratio()
        );
    }
    println!();
    println!("| members | loss | first knows after ms | all know after ms | living taken for dead | suspicions | in s | bytes a second and member |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let sizes: &[u16] = if large { &[10, 100, 1000] } else { &[10, 100] };
    for members in sizes {
        for loss in [0.0, 0.05, 0.2] {
            let d = measure::detection(*members, loss, 7);
            println!(
                "| {members} | {loss} | {} | {} | {} | {} | {} | {:.0} |",
                ms(d.first_detection),
                ms(d.last_detection),
                d.false_deaths,
                d.false_suspicions,
                d.seconds,
                d.bytes_per_second
            );
        }
    }
    let (virtual_rate, real_rate) = measure::commit_rate(20);
    println!();
    println!("decrees a second: {virtual_rate:.0} of virtual time (one command each 0.5 ms), {real_rate:.0} of this machine's, three instances and the network in one thread");
    ExitCode::SUCCESS
}

fn replay_leadership(seed: u64, name: Option<String>, quiet: bool) -> ExitCode {
    let plan = match name.as_deref().map(planted_fault) {
        None => proof::seeded_config(seed, None),
        Some(Some(fault)) => proof::config_exposing(seed, fault),
        Some(None) => {
            eprintln!("stagepond-lab: no such planted fault; there are {:?}", Fault::ALL);
            return ExitCode::from(2);
        }
    };
    println!("{} instances, durable {}", plan.settings.seats, plan.settings.durable);
    plan.fault_schedule.iter().for_each(|s| println!("{:>9.1} {:?}", s.at.0 as f64 / 10.0, s.fault));
    let mut world = Simulation::new(plan);
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
        Command::ProveLeadership { seed, runs, threads, program } => {
            prove_leadership(seed, runs, threads, program)
        }
        Command::ProveTuf { seed, runs, pairs, program } => prove_tuf(seed, runs, pairs, program),
        Command::MeasureTuf { targets } => measure_tuf(targets),
        Command::MeasureLeadership { runs, large } => measure_leadership(runs, large),
        Command::ReplayLeadership { seed, planted, quiet } => replay_leadership(seed, planted, quiet),
    }
}
