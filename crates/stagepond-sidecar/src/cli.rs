//! The command line of `stagepond`: parses the arguments and runs the chosen subcommand.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use lexopt::prelude::*;
use tokio::signal::unix::{signal, SignalKind};

use crate::config::{self, LoadKind, SidecarConfig};
use crate::event_loop;
use crate::operators::{self, LeadershipConfig};

const HELP: &str = "\
stagepond: an invocation router and release judge, as a sidecar

    stagepond serve [--config FILE] [--operators FILE]
                           run the sidecar until SIGTERM; SIGHUP reloads both files
    stagepond check [--config FILE] [--operators FILE]
                           read both files and report what is wrong with them
    stagepond version
    stagepond help

The configuration FILE defaults to $BALANCER_CONFIG. $BALANCER_NAME,
$BALANCER_LISTEN and $BALANCER_DISCOVERY take precedence over its fields.
$STAGEPOND_LOG sets the log level (error, warn, info, debug, trace),
$STAGEPOND_LOG_FORM the log format (text, json). The operators' FILE (JSON5)
defaults to $STAGEPOND_OPERATORS; without one, every feature that it could
switch on is off.
";

/// Arguments of the command line.
#[derive(Default)]
struct Arguments {
    command: Option<String>,
    config: Option<PathBuf>,
    operators: Option<PathBuf>,
}

fn parse_arguments() -> Result<Arguments> {
    let mut parser = lexopt::Parser::from_env();
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => arguments.config = Some(PathBuf::from(parser.value()?)),
            Long("operators") => arguments.operators = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => arguments.command = Some("help".to_string()),
            Short('V') | Long("version") => arguments.command = Some("version".to_string()),
            Value(word) if arguments.command.is_none() => arguments.command = Some(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

/// Reads the configuration and, if one is given, the operators' file.
fn load_config(arguments: &Arguments, load_kind: LoadKind) -> Result<SidecarConfig> {
    let env = |name: &str| std::env::var(name).ok();
    let path = arguments.config.clone().or_else(|| env("BALANCER_CONFIG").map(PathBuf::from));
    let path = path.context("no configuration: neither --config nor BALANCER_CONFIG is given")?;
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    let mut config = config::read(&text, env, load_kind)?;
    let operators = arguments.operators.clone().or_else(|| env("STAGEPOND_OPERATORS").map(PathBuf::from));
    if let Some(path) = operators {
        config.operators = operators::read(&path, &config.facts, &config.names)?;
    }
    Ok(config)
}

fn init_logging() -> Result<()> {
    let filter = tracing_subscriber::EnvFilter::try_from_env("STAGEPOND_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match std::env::var("STAGEPOND_LOG_FORM").as_deref() {
        Ok("json") => log.json().flatten_event(true).init(),
        Ok("text") | Err(_) => log.init(),
        Ok(other) => bail!("STAGEPOND_LOG_FORM: {other:?}, expected text or json"),
    }
    Ok(())
}

fn serve(arguments: Arguments) -> Result<()> {
    // One thread: a sidecar has one core, and with one thread the order of inputs is the order of effects.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Installed first: without a handler, a SIGHUP during startup would terminate the process.
    let hangups = runtime.block_on(async { signal(SignalKind::hangup()) }).context("SIGHUP")?;
    init_logging()?;
    let config = load_config(&arguments, LoadKind::Initial)?;
    let reload_config = move || load_config(&arguments, LoadKind::Reload).map(SidecarConfig::into_reloadable);
    let result = runtime.block_on(event_loop::serve(config, reload_config, hangups));
    runtime.shutdown_background();
    result
}

fn check(arguments: &Arguments) -> Result<()> {
    let config = load_config(arguments, LoadKind::Initial)?;
    println!("{}: {} pods known, configuration valid", config.name, config.known_pods.pods.len());
    if let Some(leadership) = &config.operators.leadership {
        print_leadership(leadership);
    }
    for feature in &config.unsupported {
        println!("not supported: {feature}");
    }
    Ok(())
}

fn print_leadership(leadership: &LeadershipConfig) {
    let settings = &leadership.settings;
    let pool: Vec<u16> = settings.pool.iter().map(|seat| seat.0).collect();
    let lease_ms = settings.lease_time().0 / 10;
    let storage = if leadership.state_file.is_some() { "stored on disk" } else { "in memory only" };
    println!(
        "leadership: {} voters from the seats {pool:?}, a lease of {lease_ms} ms, voter state {storage}",
        settings.voter_count
    );
}

fn run() -> Result<()> {
    let arguments = parse_arguments()?;
    match arguments.command.as_deref() {
        Some("serve") => serve(arguments),
        Some("check") => check(&arguments),
        Some("version") => {
            println!("stagepond {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("unknown command {other:?}; try 'stagepond help'"),
        None => bail!("no command given; try 'stagepond help'"),
    }
}

/// Runs the command line. An error is printed to stderr in one line and gives a failure exit code.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagepond: {error:#}");
            ExitCode::FAILURE
        }
    }
}
