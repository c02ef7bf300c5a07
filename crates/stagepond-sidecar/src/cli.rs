//! The command line. It owns nothing but the choice of what to do; all else is in the parts below.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use lexopt::prelude::*;
use tokio::signal::unix::{signal, SignalKind};

use crate::launch::{self, Reading};
use crate::{event_loop, operators};

const HELP: &str = "\
stagepond: an invocation router and release judge, as a sidecar

    stagepond serve [--config FILE] [--operators FILE]
                           run the sidecar until SIGTERM; SIGHUP reads both files again
    stagepond check [--config FILE] [--operators FILE]
                           read both files and say what is wrong with them
    stagepond version
    stagepond help

FILE is $BALANCER_CONFIG unless given. $BALANCER_NAME, $BALANCER_LISTEN and
$BALANCER_DISCOVERY go before what it says. $STAGEPOND_LOG sets what is logged
(error, warn, info, debug, trace), $STAGEPOND_LOG_FORM in what form (text, json).
The operators' file (JSON5) is $STAGEPOND_OPERATORS unless given; without one all
that it could switch on is off.
";

fn read(config: &Option<PathBuf>, operators: &Option<PathBuf>, reading: Reading) -> Result<launch::Launch> {
    let env = |name: &str| std::env::var(name).ok();
    let path = config.clone().or_else(|| env("BALANCER_CONFIG").map(PathBuf::from));
    let path = path.context("no configuration: neither --config nor BALANCER_CONFIG is given")?;
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    let mut launch = launch::read(&text, env, reading)?;
    if let Some(path) = operators.clone().or_else(|| env("STAGEPOND_OPERATORS").map(PathBuf::from)) {
        launch.operators = operators::read(&path, &launch.facts, &launch.names)?;
    }
    Ok(launch)
}

fn run() -> Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let (mut command, mut config, mut operators) = (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Long("operators") => operators = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => command = Some("help".to_string()),
            Short('V') | Long("version") => command = Some("version".to_string()),
            Value(word) if command.is_none() => command = Some(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_deref() {
        Some("serve") => {
            // One thread: a sidecar has one core, and so the order of inputs is the order of effects.
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            // Before all else: a new configuration must not end the program, however early it comes.
            let hangups = runtime.block_on(async { signal(SignalKind::hangup()) }).context("SIGHUP")?;
            let filter = tracing_subscriber::EnvFilter::try_from_env("STAGEPOND_LOG")
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
            let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
            match std::env::var("STAGEPOND_LOG_FORM").as_deref() {
                Ok("json") => log.json().flatten_event(true).init(),
                Ok("text") | Err(_) => log.init(),
                Ok(other) => bail!("STAGEPOND_LOG_FORM: {other:?} is neither text nor json"),
            }
            let launch = read(&config, &operators, Reading::Start)?;
            let reread = move || read(&config, &operators, Reading::Again).map(launch::Launch::changes);
            let ended = runtime.block_on(event_loop::serve(launch, reread, hangups));
            runtime.shutdown_background();
            ended
        }
        Some("check") => {
            let launch = read(&config, &operators, Reading::Start)?;
            println!("{}: {} pods known, all well", launch.name, launch.known.pods.len());
            if let Some(leadership) = &launch.operators.leadership {
                let b = &leadership.bounds;
                let pool: Vec<u16> = b.pool.iter().map(|s| s.0).collect();
                let (lease, disk) = (b.lease().0 / 10, leadership.state.is_some());
                println!(
                    "leadership: {} voters of the seats {pool:?}, a lease of {lease} ms, with a disk: {disk}",
                    b.voters
                );
            }
            launch.missing.iter().for_each(|what| println!("not there on sockets: {what}"));
            Ok(())
        }
        Some("version") => {
            println!("stagepond {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("{other:?} is no command; try 'stagepond help'"),
        None => bail!("no command; try 'stagepond help'"),
    }
}

pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagepond: {error:#}");
            ExitCode::FAILURE
        }
    }
}
