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

fn planted(name: &str) -> Option<Fault> {
    Fault::ALL.into_iter().find(|fault| format!("{fault:?}") == name)
}

/// The program beside this one in the target folder, unless another is named.
fn program(named: Option<PathBuf>) -> PathBuf {
    let beside = || std::env::current_exe().map(|me| me.with_file_name("stagepond"));
    named.unwrap_or_else(|| beside().unwrap_or_else(|_| "stagepond".into()))
}

fn prove_leadership(seed: u64, runs: u64, threads: usize, named: Option<PathBuf>) -> ExitCode {
    let begun = Instant::now();
    let from = seed.wrapping_mul(1_000_000);
    // Real processes need their time whatever the machine does: they run beside the rest.
    let played = std::thread::spawn(move || processes::prove(&program(named), seed));
    let sum = proof::run_seeds(from, runs, threads);
    for (seed, broken) in sum.violations.iter().take(10) {
        println!("seed {seed}: {broken}\n    replay: cargo run --release -p stagepond-lab -- replay-leadership {seed}");
    }
    let mut found = 0;
    for fault in Fault::ALL {
        match proof::find_planted(fault, from, 8000, threads) {
            Some((seed, broken)) => {
                found += 1;
                println!("planted {fault:?}: found by seed {seed}: {broken}");
            }
            None => println!("planted {fault:?}: NOT FOUND"),
        }
    }
    let checked = model::run_checks(threads, Duration::from_secs(12));
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
    if seeds_well && model_well && model_sees && processes_well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn prove_tuf(seed: u64, runs: u64, pairs: usize, named: Option<PathBuf>) -> ExitCode {
    use stagepond_lab::tuf::{proof, sockets};
    use stagepond_tuf::planted::Fault;
    let begun = Instant::now();
    let played = std::thread::spawn(move || sockets::prove(&program(named), seed));
    let mut all = proof::Sum::default();
    for nth in 0..runs {
        let sum = proof::run(seed.wrapping_mul(1000) + nth, pairs);
        all.attacks += sum.attacks;
        all.refused += sum.refused;
        all.pairs += sum.pairs;
        all.pairs_refused += sum.pairs_refused;
        all.good += sum.good;
        all.good_passed += sum.good_passed;
        all.control_passed += sum.control_passed;
        all.other_reason.extend(sum.other_reason);
        all.passed.extend(sum.passed);
    }
    all.passed.iter().take(10).for_each(|passed| println!("PASSED: {passed}"));
    all.other_reason.iter().take(10).for_each(|other| println!("for another reason: {other}"));
    let mut found = 0;
    for fault in Fault::ALL {
        match proof::find(fault, seed) {
            Some(attack) => {
                found += 1;
                println!("planted {fault:?}: shown by {attack:?}");
            }
            None => println!("planted {fault:?}: NOT FOUND"),
        }
    }
    let seen = match played.join() {
        Ok(Ok(seen)) => seen,
        Ok(Err(error)) => {
            println!("sockets: {error:#}");
            sockets::Seen::default()
        }
        Err(_) => sockets::Seen::default(),
    };
    seen.wrong.iter().for_each(|wrong| println!("sockets: {wrong}"));
    println!(
        "tuf: attacks={} refused={} other_reason={} pairs={} pairs_refused={} good={} good_passed={} planted={found}/{} \
         control_passed={} kinds={} sockets_attacks={} sockets_refused={} sockets_good={} sockets_control={} seconds={:.1}",
        all.attacks,
        all.refused,
        all.other_reason.len(),
        all.pairs,
        all.pairs_refused,
        all.good,
        all.good_passed,
        Fault::ALL.len(),
        all.control_passed,
        stagepond_lab::tuf::attacks::Attack::ALL.len(),
        seen.attacks,
        seen.refused,
        seen.good_passed,
        seen.control_passed,
        begun.elapsed().as_secs_f64(),
    );
    let well = all.refused == all.attacks
        && all.other_reason.is_empty()
        && all.pairs_refused == all.pairs
        && all.good_passed == all.good
        && found == Fault::ALL.len()
        && all.control_passed > 0
        && seen.wrong.is_empty()
        && seen.attacks > 40
        && seen.good_passed
        && seen.control_passed
        && all.attacks > 0;
    if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn measure_tuf(targets: usize) -> ExitCode {
    use stagepond_lab::tuf::measure;
    let i = measure::index(targets);
    println!("| {} targets | packed index | plain map |", i.targets);
    println!("| --- | --- | --- |");
    println!("| bytes for each | {:.1} | {:.1} |", i.packed_bytes, i.plain_bytes);
    println!("| microseconds a look-up | {:.2} | {:.2} |", i.packed_us, i.plain_us);
    let (checked, copied) = measure::checking(5 << 20);
    println!();
    println!("a pack of 5 MiB in pieces of 16 KiB: {checked:.2} ms to check, {copied:.2} ms to copy");
    println!("Ed25519 signatures verified a second: {:.0}", measure::signatures());
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
    let plan = match name.as_deref().map(planted) {
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
