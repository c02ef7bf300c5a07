//! A sidecar process under test: its start, its log, its signals and its exit.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use anyhow::{anyhow, Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};

use super::account::FaultKind;
use super::script::SignalKind;

/// How long to wait for a sidecar to listen and to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A sidecar process that listens.
pub(crate) struct Sidecar {
    pub(crate) child: Child,
    /// Where clients connect.
    pub(crate) address: SocketAddr,
    log: Lines<BufReader<ChildStderr>>,
}

impl Sidecar {
    /// Starts the program and waits until it listens.
    pub(crate) async fn start(program: &Path, config: &Path) -> Result<Sidecar> {
        let mut child = Command::new(program)
            .args(["serve", "--config"])
            .arg(config)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| program.display().to_string())?;
        let log = BufReader::new(child.stderr.take().context("stderr is not piped")?).lines();
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut sidecar = Sidecar { child, address: unknown, log };
        let listening = sidecar.wait_for_log("clients=").await?;
        let address = listening.split_once("clients=").and_then(|(_, rest)| rest.split(' ').next());
        sidecar.address = address.context("no address is logged")?.parse()?;
        Ok(sidecar)
    }

    /// Waits for the next log line that contains `text`, and returns it.
    pub(crate) async fn wait_for_log(&mut self, text: &str) -> Result<String> {
        let found = async {
            while let Some(line) = self.log.next_line().await? {
                if line.contains(text) {
                    return Ok(line);
                }
            }
            Err(anyhow!("the sidecar ended before it logged {text:?}"))
        };
        tokio::time::timeout(START_TIMEOUT, found).await.with_context(|| format!("no {text:?} in time"))?
    }

    /// Sends a signal, unless the process has ended.
    pub(crate) fn signal(&self, signal: SignalKind) -> Result<()> {
        let signal = match signal {
            SignalKind::Terminate => Signal::SIGTERM,
            SignalKind::Hangup => Signal::SIGHUP,
        };
        let Some(pid) = self.child.id() else { return Ok(()) };
        Ok(kill(Pid::from_raw(pid as i32), signal)?)
    }

    /// Waits for the exit and kills the process at `kill_at`. Returns what was wrong with the exit.
    pub(crate) async fn wait_for_exit(mut self, kill_at: Instant) -> Result<Option<(FaultKind, String)>> {
        let mut lines = Vec::new();
        let exit = async {
            while let Some(line) = self.log.next_line().await? {
                lines.push(line);
            }
            self.child.wait().await
        };
        let status = match tokio::time::timeout_at(kill_at.into(), exit).await {
            Ok(status) => status?,
            Err(_) => {
                self.child.kill().await?;
                let last = lines.last().cloned().unwrap_or_default();
                return Ok(Some((FaultKind::Killed, format!("last log line: {last}"))));
            }
        };
        let panicked = lines.iter().find(|line| line.contains("panicked"));
        Ok(match (status.success(), panicked) {
            (true, None) => None,
            (_, line) => Some((FaultKind::Crashed, format!("{status}, {line:?}"))),
        })
    }
}
