//! Runs the attacks against the real program: pods on loopback serve an attacked repository, a sidecar
//! verifies what they return, and a client asks the sidecar for a target. Each refusal must be one final
//! answer that names the failed check. As a control, a sidecar without verification must pass a tampered
//! target on.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use serde_json::{json, Value};
use stagepond_tuf::metadata::UnixSeconds;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStderr};

use super::attacks::{latest_pack_path, Attack, Files, Mirror, TestRepository, PACK_PATH};

/// How long to wait for a log line or an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Path prefix under which pods serve metadata.
const METADATA_PREFIX: &str = "/lookup/metadata/";
/// Path prefix under which clients request targets.
const TARGETS_PREFIX: &str = "/lookup/";
/// End of the header section of an HTTP/1.1 message.
const HEADER_END: &[u8] = b"\r\n\r\n";
/// Last bytes of the pack in the last release.
const GENUINE_PACK_END: &[u8] = b"release 3";
/// Attacks that run at the same time.
const PARALLEL_ATTACKS: usize = 8;

/// Returns whether the attack can be shown on a new sidecar that is asked for the pack. Attacks on the
/// delegated role need a request for another target, rollbacks and a dropped delegated role need metadata
/// trusted earlier, and a freeze takes days to show.
fn applies_to_sidecar(attack: &Attack) -> bool {
    attack.requested_path() == PACK_PATH
        && !attack.rolls_back_to_first_release()
        && *attack != Attack::SnapshotDropsDelegated
        && *attack != Attack::TimestampFrozen
}

/// Accepts connections for a pod.
async fn run_pod(listener: TcpListener, files: Arc<Files>) {
    while let Ok((stream, _)) = listener.accept().await {
        let files = files.clone();
        tokio::spawn(async move {
            let _ = serve_connection(stream, &files).await;
        });
    }
}

/// Answers requests for metadata with the file of that name, and every other request with the file at the
/// path of the latest pack.
async fn serve_connection(mut stream: TcpStream, files: &Files) -> std::io::Result<()> {
    let mut received = Vec::new();
    loop {
        while !received.windows(HEADER_END.len()).any(|window| window == HEADER_END) {
            if stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&received).into_owned();
        received.clear();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let file = match path.strip_prefix(METADATA_PREFIX) {
            Some(name) => files.get(name),
            None => files.get(&latest_pack_path()),
        };
        let (status, body) = match file {
            Some(body) => ("200 OK", &body[..]),
            None => ("404 Not Found", &b""[..]),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Server-Load: inflight=1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body).await?;
    }
}

/// A running sidecar; it is killed when this value is dropped.
struct SidecarProcess {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    /// Where the sidecar listens for clients.
    address: SocketAddr,
    /// Log lines up to and including the one that says it is ready.
    startup_lines: Vec<Value>,
    /// Holds the configuration, which is deleted on drop.
    _folder: tempfile::TempDir,
}

/// Starts two pods that serve these files and a sidecar in front of them, with or without verification, and
/// waits until the sidecar is ready.
async fn start_sidecar(
    program: &Path, repository: &TestRepository, files: Files, verified: bool,
) -> Result<SidecarProcess> {
    let files = Arc::new(files);
    let mut endpoints = Vec::new();
    for n in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        endpoints
            .push(json!({"name": format!("pod-{n}"), "address": address, "zone": "here", "type": "small",
            "group": 0, "status": "in_service", "weight": 1.0, "since_ms": 0, "release": 1}));
        tokio::spawn(run_pod(listener, files.clone()));
    }
    let folder = tempfile::tempdir()?;
    let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
    config["listen"] = "127.0.0.1:0".into();
    config["peer_listen"] = "127.0.0.1:0".into();
    // Nothing listens at these addresses: the sidecar uses the endpoints in its configuration.
    config["discovery"] = "127.0.0.1:9".into();
    config["pipeline"]["address"] = "127.0.0.1:9".into();
    config["known"] = json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    std::fs::write(folder.path().join("config.json"), config.to_string())?;
    std::fs::write(folder.path().join("1.root.json"), repository.first_root())?;
    let operators = format!(
        "{{ tuf: {{ operation: 'lookup', targets: '{TARGETS_PREFIX}', metadata: '{METADATA_PREFIX}', \
         root: '1.root.json' }} }}"
    );
    std::fs::write(folder.path().join("operators.json5"), if verified { operators } else { "{}".into() })?;
    let mut child = tokio::process::Command::new(program)
        .arg("serve")
        .arg("--config")
        .arg(folder.path().join("config.json"))
        .arg("--operators")
        .arg(folder.path().join("operators.json5"))
        .env("STAGEPOND_LOG_FORM", "json")
        .env_remove("BALANCER_DISCOVERY")
        .env_remove("BALANCER_LISTEN")
        .env_remove("BALANCER_NAME")
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .with_context(|| format!("failed to start {}", program.display()))?;
    let stderr = child.stderr.take().context("the sidecar's standard error is not piped")?;
    let mut log = BufReader::new(stderr).lines();
    let (mut address, mut startup_lines) = (None, Vec::new());
    loop {
        let line = tokio::time::timeout(READ_TIMEOUT, log.next_line()).await??;
        let line = line.ok_or_else(|| anyhow!("the sidecar ended before it was ready"))?;
        let line: Value = serde_json::from_str(&line)?;
        address = address.or_else(|| line["clients"].as_str().and_then(|a| a.parse().ok()));
        let ready = line["state"] == "Ready";
        startup_lines.push(line);
        if ready {
            break;
        }
    }
    let address = address.context("the sidecar logged no address for clients")?;
    Ok(SidecarProcess { child, log, address, startup_lines, _folder: folder })
}

/// The final answer to a request for a target.
struct Answer {
    status: u16,
    /// The check named by the `X-Check-Failed` header.
    failed_check: Option<String>,
    body: Vec<u8>,
}

/// Requests a target from a sidecar and reads the answer to the end of the connection.
async fn request_target(address: SocketAddr, path: &str) -> Result<Answer> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "GET {TARGETS_PREFIX}{path} HTTP/1.1\r\nHost: here\r\nX-Request-ID: tablet\r\nX-Priority-Class: lookup\r\n\
         X-Timeout-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut received = Vec::new();
    tokio::time::timeout(READ_TIMEOUT, stream.read_to_end(&mut received)).await??;
    let head_len = received
        .windows(HEADER_END.len())
        .position(|window| window == HEADER_END)
        .context("the sidecar closed the connection without a complete answer")?;
    let head = String::from_utf8_lossy(&received[..head_len]).to_ascii_lowercase();
    let status =
        head.split(' ').nth(1).and_then(|s| s.parse().ok()).context("the answer has no HTTP status code")?;
    let failed_check =
        head.lines().find_map(|line| line.strip_prefix("x-check-failed: ")).map(str::to_string);
    let body = received[head_len + HEADER_END.len()..].to_vec();
    if body.windows(9).any(|window| window == b"HTTP/1.1 ") {
        bail!("the sidecar sent two answers to one request");
    }
    Ok(Answer { status, failed_check, body })
}

/// Stands for the kind of a refusal that names none, so that it is never taken for trust.
const NO_KIND: &str = "no kind";

/// Reads the outcome of a metadata refresh from a log line: `None` for any other line, `Some(None)` if
/// metadata is trusted, and the kind of the error if it is refused.
pub fn refresh_outcome(line: &Value) -> Option<Option<String>> {
    match line["event"].as_str() {
        Some("trusted") => Some(None),
        Some("metadata_refused") => Some(Some(line["kind"].as_str().unwrap_or(NO_KIND).to_string())),
        _ => None,
    }
}

/// Waits until the sidecar trusts or refuses metadata; returns the kind of the error if it refuses it.
async fn wait_for_metadata(sidecar: &mut SidecarProcess) -> Result<Option<String>> {
    if let Some(outcome) = sidecar.startup_lines.iter().find_map(refresh_outcome) {
        return Ok(outcome);
    }
    loop {
        let line = tokio::time::timeout(READ_TIMEOUT, sidecar.log.next_line()).await??;
        let line = line.ok_or_else(|| anyhow!("the sidecar ended before it trusted or refused metadata"))?;
        let line: Value = serde_json::from_str(&line)?;
        if let Some(outcome) = refresh_outcome(&line) {
            return Ok(outcome);
        }
    }
}

/// What the attacks on the program showed.
#[derive(Clone, Debug, Default)]
pub struct SocketReport {
    /// Attacks carried out.
    pub attacks: usize,
    /// Attacks that were refused with the expected error.
    pub refused: usize,
    /// Whether the sidecar returned the pack of an honest repository.
    pub honest_passed: bool,
    /// Whether the sidecar without verification returned a tampered pack.
    pub passed_unverified: bool,
    /// Descriptions of what went wrong.
    pub failures: Vec<String>,
}

/// Returns a repository whose last release was a minute ago, since the program checks expiry by the system
/// clock.
fn current_repository(seed: u64) -> TestRepository {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    TestRepository::with_last_release_at(seed, UnixSeconds(now.as_secs() as i64 - 60))
}

/// Runs one attack against a sidecar of its own. Returns a description if it is not refused as expected.
async fn run_attack(program: PathBuf, seed: u64, attack: Attack) -> Result<Option<String>> {
    let repository = current_repository(seed);
    let mut mirror = Mirror::honest(&repository);
    mirror.apply(attack);
    let mut sidecar = start_sidecar(&program, &repository, mirror.files, true).await?;
    let refused = wait_for_metadata(&mut sidecar).await?;
    let answer = request_target(sidecar.address, PACK_PATH).await?;
    sidecar.child.kill().await?;
    // A new root that can't be read completely counts as absent: the trusted root stays in use, and so does
    // what it signed.
    if attack == Attack::RootEndless && answer.status == 200 && answer.body.ends_with(GENUINE_PACK_END) {
        return Ok(None);
    }
    if answer.status == 200 {
        return Ok(Some(format!("{attack:?}: passed: {:?}", String::from_utf8_lossy(&answer.body))));
    }
    // Refused metadata is logged; refused targets are named in the answer.
    let kind = refused.or(answer.failed_check);
    let expected = attack.expected_error();
    // A missing pack is an error of the pod and involves no verification.
    let as_expected = kind.as_deref() == Some(expected) || (attack == Attack::PackMissing && kind.is_none());
    // A file that is too long is cut off by the program's general limit on answers, before the client sees
    // it.
    let as_expected = as_expected
        || (expected == "too_long" && kind.as_deref() == Some("missing"))
        || expected == "too_long" && kind.is_none();
    let status = answer.status;
    Ok((!as_expected).then(|| format!("{attack:?}: {kind:?} with status {status}, expected {expected}")))
}

/// Runs the honest repository, the control without verification, and then all attacks.
async fn run_all(program: &Path, seed: u64) -> Result<SocketReport> {
    let mut report = SocketReport::default();
    let repository = current_repository(seed);
    let honest = Mirror::honest(&repository).files;
    let mut sidecar = start_sidecar(program, &repository, honest.clone(), true).await?;
    let refused = wait_for_metadata(&mut sidecar).await?;
    let Answer { status, failed_check, body } = request_target(sidecar.address, PACK_PATH).await?;
    report.honest_passed = refused.is_none() && status == 200 && body.ends_with(GENUINE_PACK_END);
    if !report.honest_passed {
        report.failures.push(format!("the good pack: {refused:?}, {status}, {failed_check:?}"));
    }
    sidecar.child.kill().await?;
    let mut tampered = Mirror::honest(&repository);
    tampered.apply(Attack::PackTampered);
    let mut unverified = start_sidecar(program, &repository, tampered.files, false).await?;
    report.passed_unverified = request_target(unverified.address, PACK_PATH).await?.status == 200;
    unverified.child.kill().await?;
    let attacks: Vec<Attack> = Attack::ALL.into_iter().filter(applies_to_sidecar).collect();
    for batch in attacks.chunks(PARALLEL_ATTACKS) {
        let tasks: Vec<_> =
            batch.iter().map(|a| tokio::spawn(run_attack(program.to_path_buf(), seed, *a))).collect();
        for (attack, task) in batch.iter().zip(tasks) {
            report.attacks += 1;
            match task.await? {
                Ok(None) => report.refused += 1,
                Ok(Some(failure)) => report.failures.push(failure),
                Err(error) => report.failures.push(format!("{attack:?}: {error:#}")),
            }
        }
    }
    Ok(report)
}

/// Runs every attack that a client asking for the pack can meet, each against a sidecar process of its own.
///
/// # Errors
/// Fails if the honest repository or the control can't be run; an attack that can't be run is reported as a
/// failure of that attack.
pub fn prove(program: &Path, seed: u64) -> Result<SocketReport> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(run_all(program, seed));
    runtime.shutdown_background();
    report
}
