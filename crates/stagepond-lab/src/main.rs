//! Command line of the laboratory: chooses a proof, a measurement or a replay, runs it and prints its
//! results.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand, ValueEnum};
use stagepond_lab::crowd::memory::{self, CrowdOptions};
use stagepond_lab::crowd::ClientForm;
use stagepond_lab::leadership::measure::{self, Disruption};
use stagepond_lab::leadership::simulation::Simulation;
use stagepond_lab::leadership::{model, processes, proof};
use stagepond_lab::soak::{self, SoakKind, SoakOptions};
use stagepond_leadership::ids::Tenths;
use stagepond_leadership::planted::Fault;

/// Simulations, proofs and measurements of the project's subsystems
#[derive(Parser)]
#[command(name = "stagepond-lab", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

/// An action and the subsystem that it applies to.
#[derive(Subcommand)]
#[allow(clippy::enum_variant_names)]
enum Command {
    /// Prove leadership: simulations of many seeds without a violation, and every planted fault found
    ProveLeadership {
        /// Shifts the seeds of all runs
        #[arg(long, default_value_t = 1, env = "SEED")]
        seed: u64,
        /// Number of simulations
        #[arg(long, default_value_t = 3000)]
        runs: u64,
        /// Number of threads that simulate and check models
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Program for the part with real processes [default: stagepond in the folder of this program]
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Prove TUF: every attack refused with the expected error, every honest release accepted, and every
    /// planted fault found
    ProveTuf {
        /// Shifts the seeds of all runs
        #[arg(long, default_value_t = 1, env = "SEED")]
        seed: u64,
        /// Number of repositories
        #[arg(long, default_value_t = 40)]
        runs: u64,
        /// Number of pairs of attacks on each repository
        #[arg(long, default_value_t = 60)]
        pairs: usize,
        /// Program for the part on sockets [default: stagepond in the folder of this program]
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure failover time, failure detection and its cost, and commits per second; prints tables
    MeasureLeadership {
        /// Number of simulations for each kind of failover
        #[arg(long, default_value_t = 200)]
        runs: u64,
        /// Measure failure detection with a thousand members as well, which takes minutes
        #[arg(long)]
        large: bool,
    },
    /// Measure TUF: the packed index against a hash map, verifying against copying, signatures per second
    MeasureTuf {
        /// Number of targets in the index
        #[arg(long, default_value_t = 1_000_000)]
        targets: usize,
    },
    /// Restart a sidecar under load again and again, and account for every request
    Soak {
        /// Seed of the first run
        #[arg(long, default_value_t = 1, env = "SEED")]
        seed: u64,
        /// Number of runs, each with a seed of its own
        #[arg(long, default_value_t = 50, env = "SEEDS")]
        runs: u64,
        /// Runs at the same time
        #[arg(long, default_value_t = 3)]
        parallel: usize,
        /// What happens beside the restarts
        #[arg(long, value_enum, default_value_t = SoakKind::Restarts)]
        kind: SoakKind,
        /// Program to test [default: stagepond in the folder of this program]
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure the peak memory of a sidecar under a crowd of clients; fails if it is above the limit
    MeasureMemory {
        /// Forms of the clients, in turn [default: each form by itself]
        #[arg(long, value_delimiter = ',')]
        forms: Vec<ClientForm>,
        /// Number of clients
        #[arg(long, value_delimiter = ',', default_value = "300")]
        clients: Vec<usize>,
        /// Memory limit in the configuration, in MB
        #[arg(long, value_delimiter = ',', default_value = "32")]
        memory_mb: Vec<usize>,
        /// Descriptor limit in the configuration
        #[arg(long, value_delimiter = ',', default_value = "1024")]
        sockets: Vec<usize>,
        /// Pods answer with a few bytes instead of 60 KB
        #[arg(long)]
        small_answers: bool,
        /// Share of answers that take 100 ms, in percent
        #[arg(long, default_value_t = 0)]
        slow_percent: u32,
        /// Measurements of each kind
        #[arg(long, default_value_t = 1)]
        repeat: u32,
        /// How long each crowd stays, in seconds
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Program to test [default: stagepond in the folder of this program]
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Run the leadership simulation of one seed and print its events
    ReplayLeadership {
        /// Seed of the simulation
        seed: u64,
        /// Name of a planted fault to run it with
        #[arg(long)]
        planted: Option<String>,
        /// Print only the faults and the outcome
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
/// Seed of the simulations that measure failure detection.
const DETECTION_SEED: u64 = 7;
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
    let start = Instant::now();
    let first_seed = seed.wrapping_mul(1_000_000);
    // The part with real processes takes a fixed time on any machine, so it runs beside the simulations.
    let process_proof = std::thread::spawn(move || processes::prove(&program_path(program), seed));
    let summary = proof::run_seeds(first_seed, runs, threads);
    for (seed, violation) in summary.violations.iter().take(MAX_FAILURES_SHOWN) {
        println!(
            "seed {seed}: {violation}\n    \
             replay: cargo run --release -p stagepond-lab -- replay-leadership {seed}"
        );
    }
    let mut planted_found = 0;
    for fault in Fault::ALL {
        match proof::find_planted(fault, first_seed, PLANTED_FAULT_SEEDS, threads) {
            Some((seed, violation)) => {
                planted_found += 1;
                println!("planted {fault:?}: found by seed {seed}: {violation}");
            }
            None => println!("planted {fault:?}: NOT FOUND"),
        }
    }
    let checks = model::run_checks(threads, MODEL_CHECK_TIME);
    let mut model_states = 0;
    for (name, depth, check) in &checks {
        model_states += check.states;
        let coverage = if check.complete { "all" } else { "a part of the" };
        println!(
            "model {name}: {coverage} {} states to depth {depth}, broken: {:?}",
            check.states, check.violated
        );
    }
    let model_proved = checks.iter().all(|(_, _, check)| check.violated.is_empty() && check.complete);
    let planted_found_by_model = model::detects_planted_fault(threads);
    println!("model: planted HoldIgnored seen: {planted_found_by_model}");
    let process_report = match process_proof.join() {
        Ok(Ok(report)) => Some(report),
        Ok(Err(error)) => {
            println!("processes: {error:#}");
            None
        }
        Err(_) => None,
    };
    if let Some(report) = &process_report {
        report.violations.iter().for_each(|violation| println!("processes: {violation}"));
        println!("processes: from the trouble to the next leader, ms: {:?}", report.failover_ms);
    }
    let processes = process_report.clone().unwrap_or_default();
    println!(
        "leadership: seeds={} broken={} planted={planted_found}/{} unequal_traces={} leaders={} decrees={} acts={} \
         acts_stopped={} foundings={} lost_with_memory={} model_states={model_states} model_broken={} \
         processes_leaders={} processes_votes={} processes_votes_stopped={} processes_broken={} answered={} \
         released={} seconds={:.1}",
        summary.runs,
        summary.violations.len(),
        Fault::ALL.len(),
        summary.unequal_traces,
        summary.leaders,
        summary.committed_entries,
        summary.actions,
        summary.refused_actions,
        summary.bootstraps,
        summary.entries_lost_with_memory,
        checks.iter().map(|(_, _, check)| check.violated.len()).sum::<usize>(),
        processes.leaders,
        processes.votes,
        processes.votes_stopped,
        processes.violations.len(),
        processes.answered,
        processes.released,
        start.elapsed().as_secs_f64(),
    );
    let seeds_proved = summary.violations.is_empty()
        && planted_found == Fault::ALL.len()
        && summary.unequal_traces == 0
        && summary.runs > 0;
    let processes_proved =
        process_report.is_some_and(|report| report.violations.is_empty() && report.released);
    exit_code(seeds_proved && model_proved && planted_found_by_model && processes_proved)
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

/// Formats a duration in whole milliseconds.
fn format_ms(duration: Tenths) -> String {
    if duration == Tenths::NEVER {
        return "never".into();
    }
    format!("{:.0}", duration.0 as f64 / 10.0)
}

fn measure_leadership(runs: u64, large: bool) -> ExitCode {
    println!("| trouble | instances | runs | without a leader, median ms | most ms | bound ms | ratio |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (disruption, seats) in [
        (Disruption::Crash, 3),
        (Disruption::Pause, 3),
        (Disruption::Cut, 3),
        (Disruption::HandOver, 3),
        (Disruption::Crash, 5),
    ] {
        let time = measure::failover_time(disruption, seats, runs);
        println!(
            "| {disruption:?} | {seats} | {} | {} | {} | {} | {:.2} |",
            time.runs,
            format_ms(time.median),
            format_ms(time.max),
            format_ms(time.bound),
            time.ratio()
        );
    }
    println!();
    println!(
        "| members | loss | first knows after ms | all know after ms | living taken for dead | suspicions | in s \
         | bytes a second and member |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let sizes: &[u16] = if large { &[10, 100, 1000] } else { &[10, 100] };
    for members in sizes {
        for loss in [0.0, 0.05, 0.2] {
            let detection = measure::detection(*members, loss, DETECTION_SEED);
            println!(
                "| {members} | {loss} | {} | {} | {} | {} | {} | {:.0} |",
                format_ms(detection.first_detection),
                format_ms(detection.last_detection),
                detection.false_deaths,
                detection.false_suspicions,
                detection.seconds,
                detection.bytes_per_second
            );
        }
    }
    let (virtual_rate, real_rate) = measure::commit_rate(20);
    println!();
    println!(
        "decrees a second: {virtual_rate:.0} of virtual time (one command each 0.5 ms), {real_rate:.0} of this \
         machine's, three instances and the network in one thread"
    );
    ExitCode::SUCCESS
}

fn replay_leadership(seed: u64, planted: Option<String>, quiet: bool) -> ExitCode {
    let config = match planted.as_deref().map(planted_fault) {
        None => proof::seeded_config(seed, None),
        Some(Some(fault)) => proof::config_exposing(seed, fault),
        Some(None) => {
            eprintln!("stagepond-lab: no such planted fault; there are {:?}", Fault::ALL);
            return ExitCode::from(2);
        }
    };
    println!("{} instances, durable {}", config.settings.seats, config.settings.durable);
    for scheduled in &config.fault_schedule {
        println!("{:>9.1} {:?}", scheduled.at.0 as f64 / 10.0, scheduled.fault);
    }
    let mut simulation = Simulation::new(config);
    simulation.verbose = !quiet;
    let outcome = simulation.run();
    println!("{outcome:#?}");
    exit_code(outcome.broken.is_empty())
}

fn soak(options: SoakOptions) -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime needs threads and descriptors");
    match runtime.block_on(soak::run_many(options)) {
        Ok(report) => {
            report.print();
            exit_code(report.faults.is_empty() && report.requests > 0)
        }
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Measures every combination of these groups of forms, numbers of clients and limits.
fn measure_memory(
    base: &CrowdOptions, groups: &[Vec<ClientForm>], clients: &[usize], memory_mb: &[usize],
    sockets: &[usize], repeat: u32,
) -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime needs threads and descriptors");
    let mut all_within = true;
    for &memory_mb in memory_mb {
        for &sockets in sockets {
            for &clients in clients {
                for forms in groups {
                    for _ in 0..repeat {
                        let options = CrowdOptions {
                            forms: forms.clone(),
                            clients,
                            memory_mb,
                            sockets,
                            ..base.clone()
                        };
                        all_within &= measure_one(&runtime, &options);
                    }
                }
            }
        }
    }
    exit_code(all_within)
}

/// Measures and prints one crowd. Returns whether the sidecar kept within its limit.
fn measure_one(runtime: &tokio::runtime::Runtime, options: &CrowdOptions) -> bool {
    let CrowdOptions { forms, clients, memory_mb, sockets, .. } = options;
    match runtime.block_on(memory::measure(options)) {
        Ok(report) => {
            let counts = report.counts;
            let within = report.is_within(*memory_mb);
            println!(
                "memory: forms={forms:?} clients={clients} memory_mb={memory_mb} sockets={sockets} \
                 peak_kib={} served={} refused={} unanswered={} cpu_ms={}{}",
                report.peak_kib,
                counts.served,
                counts.refused,
                counts.unanswered,
                report.cpu.as_millis(),
                if within { "" } else { " ABOVE THE LIMIT" }
            );
            within
        }
        Err(error) => {
            println!("memory: forms={forms:?} clients={clients} memory_mb={memory_mb}: {error:#}");
            false
        }
    }
}

fn main() -> ExitCode {
    match CommandLine::parse().command {
        Command::ProveLeadership { seed, runs, threads, program } => {
            prove_leadership(seed, runs, threads, program)
        }
        Command::ProveTuf { seed, runs, pairs, program } => prove_tuf(seed, runs, pairs, program),
        Command::MeasureTuf { targets } => measure_tuf(targets),
        Command::MeasureLeadership { runs, large } => measure_leadership(runs, large),
        Command::Soak { seed, runs, parallel, kind, program } => {
            soak(SoakOptions { first_seed: seed, runs, parallel, program: program_path(program), kind })
        }
        Command::MeasureMemory {
            forms,
            clients,
            memory_mb,
            sockets,
            small_answers,
            slow_percent,
            repeat,
            seconds,
            program,
        } => {
            let base = CrowdOptions {
                program: program_path(program),
                forms: Vec::new(),
                clients: 0,
                memory_mb: 0,
                sockets: 0,
                large_answers: !small_answers,
                slow_percent,
                duration: Duration::from_secs_f64(seconds),
            };
            let groups = match forms.is_empty() {
                true => ClientForm::value_variants().iter().map(|form| vec![*form]).collect(),
                false => vec![forms],
            };
            measure_memory(&base, &groups, &clients, &memory_mb, &sockets, repeat)
        }
        Command::ReplayLeadership { seed, planted, quiet } => replay_leadership(seed, planted, quiet),
    }
}
