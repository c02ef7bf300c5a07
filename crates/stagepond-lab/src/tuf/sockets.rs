//! The attacks against the real program: pods on loopback serve what the attacker makes of a repository, a
//! sidecar with a verified operation stands before them, and a tablet asks. Each refusal must be one final answer
//! that names the check; without verification the same pods hand out what they like. It owns the processes and
//! ends only those.

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

use super::attacks::{last_pack, Attack, Files, Served, World, PACK};

const PATIENCE: Duration = Duration::from_secs(15);
const METADATA: &str = "/lookup/metadata/";
const PACKS: &str = "/lookup/";
/// Attacks whose target is not the one that the tablet here asks for, or that take days to show.
fn shows_here(attack: &Attack) -> bool {
    attack.asks() == PACK && !attack.goes_back() && *attack != Attack::SnapshotDropsDelegated
}

/// A pod: metadata by their names, any other path as the bytes of the target that ends so.
async fn pod(listener: TcpListener, files: Arc<Files>) {
    while let Ok((stream, _)) = listener.accept().await {
        let files = files.clone();
        tokio::spawn(async move {
            let _ = serve(stream, &files).await;
        });
    }
}

async fn serve(mut stream: TcpStream, files: &Files) -> std::io::Result<()> {
    let mut read = Vec::new();
    loop {
        while !read.windows(4).any(|four| four == b"\r\n\r\n") {
            if stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&read).into_owned();
        read.clear();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let found = match path.strip_prefix(METADATA) {
            Some(name) => files.get(name),
            // Whatever stands where the last release has the pack.
            None => files.get(&last_pack()),
        };
        let (status, body) = match found {
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

struct Sidecar {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    at: SocketAddr,
    /// Lines from before it was ready.
    early: Vec<Value>,
    _folder: tempfile::TempDir,
}

/// Starts the program before two pods with these files; with or without verification.
async fn start(program: &Path, world: &World, files: Files, verified: bool) -> Result<Sidecar> {
    let files = Arc::new(files);
    let mut endpoints = Vec::new();
    for n in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        endpoints
            .push(json!({"name": format!("pod-{n}"), "address": address, "zone": "here", "type": "small",
            "group": 0, "status": "in_service", "weight": 1.0, "since_ms": 0, "release": 1}));
        tokio::spawn(pod(listener, files.clone()));
    }
    let folder = tempfile::tempdir()?;
    let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
    config["listen"] = "127.0.0.1:0".into();
    config["peer_listen"] = "127.0.0.1:0".into();
    // Nobody listens at either: the sidecar goes on by the list that it is given.
    config["discovery"] = "127.0.0.1:9".into();
    config["pipeline"]["address"] = "127.0.0.1:9".into();
    config["known"] = json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    std::fs::write(folder.path().join("config.json"), config.to_string())?;
    std::fs::write(folder.path().join("1.root.json"), world.first_root())?;
    let operators = format!(
        "{{ tuf: {{ operation: 'lookup', targets: '{PACKS}', metadata: '{METADATA}', root: '1.root.json' }} }}"
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
        .with_context(|| program.display().to_string())?;
    let mut log = BufReader::new(child.stderr.take().context("no log")?).lines();
    let (mut at, mut early) = (None, Vec::new());
    loop {
        let line = tokio::time::timeout(PATIENCE, log.next_line()).await??;
        let line: Value = serde_json::from_str(&line.ok_or_else(|| anyhow!("ended before it was ready"))?)?;
        at = at.or_else(|| line["clients"].as_str().and_then(|a| a.parse().ok()));
        let ready = line["state"] == "Ready";
        early.push(line);
        if ready {
            break;
        }
    }
    Ok(Sidecar { child, log, at: at.context("no address")?, early, _folder: folder })
}

/// One final answer: its status, the check that it names, its body.
async fn ask(at: SocketAddr, path: &str) -> Result<(u16, Option<String>, Vec<u8>)> {
    let mut stream = TcpStream::connect(at).await?;
    let head = format!(
        "GET {PACKS}{path} HTTP/1.1\r\nHost: here\r\nX-Request-ID: tablet\r\nX-Priority-Class: lookup\r\n\
         X-Timeout-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut read = Vec::new();
    tokio::time::timeout(PATIENCE, stream.read_to_end(&mut read)).await??;
    let end = read.windows(4).position(|four| four == b"\r\n\r\n").context("no answer")?;
    let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).context("no status")?;
    let check = head.lines().find_map(|line| line.strip_prefix("x-check-failed: ")).map(str::to_string);
    let body = read[end + 4..].to_vec();
    if body.windows(9).any(|nine| nine == b"HTTP/1.1 ") {
        bail!("two answers on one connection");
    }
    Ok((status, check, body))
}

/// Whether a line says that metadata are trusted, or refused and why.
fn tells(line: &Value) -> Option<Option<String>> {
    match line["event"].as_str() {
        Some("trusted") => Some(None),
        Some("metadata_refused") => Some(line["kind"].as_str().map(str::to_string)),
        _ => None,
    }
}

/// Until the metadata are trusted or refused: which kind, if refused.
async fn settled(sidecar: &mut Sidecar) -> Result<Option<String>> {
    if let Some(told) = sidecar.early.iter().find_map(tells) {
        return Ok(told);
    }
    loop {
        let line = tokio::time::timeout(PATIENCE, sidecar.log.next_line()).await??;
        let line: Value =
            serde_json::from_str(&line.ok_or_else(|| anyhow!("ended before it had metadata"))?)?;
        if let Some(told) = tells(&line) {
            return Ok(told);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub attacks: usize,
    pub refused: usize,
    pub good_passed: bool,
    pub control_passed: bool,
    pub wrong: Vec<String>,
}

/// The repository's last release, made now, so that the program's own clock finds it current.
fn world_now(seed: u64) -> World {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    World::ending_at(seed, UnixSeconds(now.as_secs() as i64 - 60))
}

async fn one(program: PathBuf, seed: u64, attack: Attack) -> Result<Option<String>> {
    let world = world_now(seed);
    let mut served = Served::honest(&world);
    served.attack(attack);
    let mut sidecar = start(&program, &world, served.files, true).await?;
    let refused = settled(&mut sidecar).await?;
    let (status, check, body) = ask(sidecar.at, PACK).await?;
    sidecar.child.kill().await?;
    // A next root that can't be read to its end is as good as none: the old one stays, and what it signed.
    if attack == Attack::RootEndless && status == 200 && body.ends_with(b"release 3") {
        return Ok(None);
    }
    if status == 200 {
        return Ok(Some(format!("{attack:?}: passed: {:?}", String::from_utf8_lossy(&body))));
    }
    // Refused metadata leave nothing to check by; refused bytes are named in the answer itself.
    let kind = refused.or(check);
    let owed = attack.owed();
    // A pod without the pack errs; that is no matter of verification.
    let well = kind.as_deref() == Some(owed) || (attack == Attack::PackMissing && kind.is_none());
    // A longer file is cut off where the program's bound on any answer is.
    let well = well
        || (owed == "too_long" && kind.as_deref() == Some("missing"))
        || owed == "too_long" && kind.is_none();
    Ok((!well).then(|| format!("{attack:?}: {kind:?} with status {status}, owed {owed}")))
}

async fn play(program: &Path, seed: u64) -> Result<Seen> {
    let mut seen = Seen::default();
    let world = world_now(seed);
    let honest = Served::honest(&world).files;
    let mut sidecar = start(program, &world, honest.clone(), true).await?;
    let refused = settled(&mut sidecar).await?;
    let (status, check, body) = ask(sidecar.at, PACK).await?;
    seen.good_passed = refused.is_none() && status == 200 && body.ends_with(b"release 3");
    if !seen.good_passed {
        seen.wrong.push(format!("the good pack: {refused:?}, {status}, {check:?}"));
    }
    sidecar.child.kill().await?;
    let mut spoilt = Served::honest(&world);
    spoilt.attack(Attack::PackTampered);
    let mut control = start(program, &world, spoilt.files, false).await?;
    seen.control_passed = ask(control.at, PACK).await?.0 == 200;
    control.child.kill().await?;
    let attacks: Vec<Attack> =
        Attack::ALL.into_iter().filter(shows_here).filter(|a| *a != Attack::TimestampFrozen).collect();
    for some in attacks.chunks(8) {
        let tasks: Vec<_> = some.iter().map(|a| tokio::spawn(one(program.to_path_buf(), seed, *a))).collect();
        for (attack, task) in some.iter().zip(tasks) {
            seen.attacks += 1;
            match task.await? {
                Ok(None) => seen.refused += 1,
                Ok(Some(wrong)) => seen.wrong.push(wrong),
                Err(error) => seen.wrong.push(format!("{attack:?}: {error:#}")),
            }
        }
    }
    Ok(seen)
}

/// All attacks that a tablet asking for one pack can meet, each against a process of its own.
pub fn prove(program: &Path, seed: u64) -> Result<Seen> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let played = runtime.block_on(play(program, seed));
    runtime.shutdown_background();
    played
}
