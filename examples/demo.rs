//! Demonstration of a release, in about half a minute: a local mock environment, one sidecar (the built
//! `stagepond` program next to this one in the target folder), traffic, the trial of a new build and the vote
//! that releases it.
//!
//! Prints which build answered how many invocations and stops by itself. The exit code is not 0 if the build
//! was not released or an invocation got no answer.

mod local_environment;
mod mock_server;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use local_environment::LocalEnvironment;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;

const POD_ADDRESSES: [&str; 4] = ["127.0.0.1:0"; 4];
const TRIAL_DELAY: Duration = Duration::from_secs(2);
const MAX_RUN_TIME: Duration = Duration::from_secs(60);
const TRAFFIC_TIME_AFTER_RELEASE: Duration = Duration::from_secs(3);
const PAUSE_BETWEEN_INVOCATIONS: Duration = Duration::from_millis(15);

fn format_counts(counts: &BTreeMap<String, u64>) -> String {
    counts.iter().map(|(what, n)| format!("{what}: {n}")).collect::<Vec<_>>().join(", ")
}

/// Runs the demonstration and returns true if the build was released and every invocation was answered.
async fn run_demo() -> Result<bool, Box<dyn std::error::Error>> {
    let environment =
        LocalEnvironment::start(&POD_ADDRESSES, "127.0.0.1:0", "127.0.0.1:0", TRIAL_DELAY).await;
    let mut config: serde_json::Value = serde_json::from_str(include_str!("config.json"))?;
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = environment.discovery.to_string().into();
    config["pipeline"]["address"] = environment.platform.to_string().into();
    config["peer_listen"] = "127.0.0.1:0".into();
    let folder = tempfile::tempdir()?;
    let config_path = folder.path().join("config.json");
    std::fs::write(&config_path, config.to_string())?;
    let program = std::env::current_exe()?.with_file_name("../stagepond");
    let mut sidecar = tokio::process::Command::new(&program)
        .args(["serve", "--config"])
        .arg(&config_path)
        .stderr(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|error| format!("cannot start {}: {error}; is it built?", program.display()))?;
    let mut log = BufReader::new(sidecar.stderr.take().ok_or("the sidecar's stderr is not piped")?).lines();
    let mut address: Option<SocketAddr> = None;
    while let Some(line) = log.next_line().await? {
        if let Some((_, rest)) = line.split_once("clients=") {
            address = rest.split(' ').next().and_then(|a| a.parse().ok());
        }
        if line.contains("state=Ready") {
            break;
        }
    }
    let address = address.ok_or("the sidecar ended before it was ready")?;
    println!("demo: a sidecar at {address}, three pods with build 1; a build 2 comes soon");
    tokio::spawn(async move {
        while let Ok(Some(line)) = log.next_line().await {
            if line.contains("vote ") {
                println!("sidecar: {}", line.split_once("vote ").map_or("", |(_, rest)| rest));
            }
        }
    });
    let mut stream = TcpStream::connect(address).await?;
    let started_at = Instant::now();
    let (mut before, mut during, mut after) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let (mut unanswered, mut released_at) = (0, None);
    for id in 0.. {
        let (build, phase) = environment.rollout_status();
        if build == 2 && phase == "Healthy" && released_at.is_none() {
            released_at = Some(Instant::now());
        }
        let done = released_at.is_some_and(|at| at.elapsed() > TRAFFIC_TIME_AFTER_RELEASE)
            || started_at.elapsed() > MAX_RUN_TIME;
        if done || phase == "Aborted" {
            break;
        }
        match local_environment::invoke(&mut stream, &format!("demo-{id}")).await {
            Ok((status, body)) => {
                let answering_build = body.split_once("build ").and_then(|(_, rest)| rest.split(':').next());
                let outcome = match (status, answering_build) {
                    (200, Some(build)) => format!("build {build}"),
                    _ => format!("status {status}"),
                };
                let counts = match (build, released_at) {
                    (1, _) => &mut before,
                    (_, None) => &mut during,
                    _ => &mut after,
                };
                *counts.entry(outcome).or_insert(0) += 1;
            }
            Err(error) => {
                println!("demo: no answer: {error}");
                unanswered += 1;
                stream = TcpStream::connect(address).await?;
            }
        }
        tokio::time::sleep(PAUSE_BETWEEN_INVOCATIONS).await;
    }
    println!("demo: answered before the trial: {}", format_counts(&before));
    println!("demo: answered during the trial, at most a fifth by build 2: {}", format_counts(&during));
    println!("demo: answered after the release: {}", format_counts(&after));
    let votes = environment.votes.lock().expect("votes lock poisoned").len();
    let (build, phase) = environment.rollout_status();
    println!("demo: {votes} votes, build {build} is {phase}; {unanswered} invocations without an answer");
    if let Some(pid) = sidecar.id() {
        // A planned stop, as the platform would request it.
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(pid as i32), nix::sys::signal::Signal::SIGTERM)?;
    }
    let exit_status = sidecar.wait().await?;
    println!("demo: the sidecar ended with {exit_status}");
    Ok(released_at.is_some() && unanswered == 0 && exit_status.success())
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run_demo().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
