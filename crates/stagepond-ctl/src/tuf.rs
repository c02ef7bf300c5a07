//! A repository in a folder: `metadata/` and `targets/` are what readers see, `keys/` is the signer's alone, and
//! `repository.json` is what is to be signed next. It owns the files; it must never show a key, write over a
//! file of metadata that was published, or let a reader see half of a release.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use clap::Subcommand;
use serde_json::json;
use stagepond_tuf::client::{Client, Limits, MetadataError, Progress, VersionFloors};
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::{UnixSeconds, ROOT, SNAPSHOT, TARGETS, TIMESTAMP};
use stagepond_tuf::planted::Planted;
use stagepond_tuf::repository::{ExpiryPeriods, MetadataFile, Repository};
use stagepond_tuf::target::{describe_target, TargetVerifier};

#[derive(Subcommand)]
pub enum Command {
    /// Make a repository with new keys and its first root
    Init {
        folder: PathBuf,
        /// Keys for root and for targets
        #[arg(long, default_value_t = 3)]
        keys: usize,
        /// How many of them must sign
        #[arg(long, default_value_t = 2)]
        threshold: u32,
    },
    /// Add a target, or a new version of one; it counts from the next publish on
    Add {
        folder: PathBuf,
        file: PathBuf,
        /// Its name for readers; the file's own name unless given
        #[arg(long = "as")]
        name: Option<String>,
    },
    /// Take a target out of the next release
    Remove { folder: PathBuf, name: String },
    /// Sign a whole release and publish it; readers see the one before until its timestamp stands
    Publish { folder: PathBuf },
    /// Give a role new keys and publish the next root
    Rotate {
        folder: PathBuf,
        /// root, targets, snapshot or timestamp
        role: String,
        #[arg(long, default_value_t = 1)]
        keys: usize,
        #[arg(long, default_value_t = 1)]
        threshold: u32,
    },
    /// Read a repository as a tablet would, from a root that is trusted
    Verify {
        folder: PathBuf,
        /// The root that is trusted; the repository's own first one unless given
        #[arg(long)]
        root: Option<PathBuf>,
        /// Check the bytes of this target, too
        #[arg(long)]
        target: Vec<String>,
        #[arg(long)]
        json: bool,
        /// As of this moment (RFC 3339) and not of now
        #[arg(long)]
        at: Option<jiff::Timestamp>,
    },
    /// What is published and when it ends
    Show {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// Exit codes: 0 well, 1 could not be done, 2 wrong words on the command line, 3 not current, 4 not signed as it
/// must be, 5 older than or other than what was announced, 6 not readable or not there.
fn code(refusal: &MetadataError) -> u8 {
    match refusal.kind() {
        "expired" => 3,
        "threshold" => 4,
        "rollback" | "other_version" | "other_bytes" | "dropped" | "below_floor" => 5,
        _ => 6,
    }
}

const FILE: &str = "repository.json";

fn now() -> UnixSeconds {
    UnixSeconds(jiff::Timestamp::now().as_second())
}

/// Whole or not at all, also when the machine stops amid it.
fn write(path: &Path, bytes: &[u8], mode: u32) -> Result<()> {
    let at = || path.display().to_string();
    let new = path.with_extension("new");
    let mut file =
        OpenOptions::new().write(true).create(true).truncate(true).mode(mode).open(&new).with_context(at)?;
    file.write_all(bytes).and_then(|()| file.sync_all()).with_context(at)?;
    fs::rename(&new, path).with_context(at)?;
    let folder = path.parent().context("a file has a folder")?;
    File::open(folder).and_then(|f| f.sync_all()).with_context(at)
}

fn read_state(folder: &Path) -> Result<Repository> {
    let path = folder.join(FILE);
    let bytes = fs::read(&path).with_context(|| format!("{}: no repository?", path.display()))?;
    serde_json::from_slice(&bytes).with_context(|| path.display().to_string())
}

fn write_state(folder: &Path, repository: &Repository) -> Result<()> {
    write(&folder.join(FILE), &serde_json::to_vec_pretty(repository)?, 0o644)
}

fn new_keys(folder: &Path, role: &str, count: usize) -> Result<Vec<SigningKey>> {
    let mut secrets = Vec::new();
    for _ in 0..count {
        let (secret, pkcs8) = SigningKey::generate()?;
        write(&folder.join("keys").join(format!("{role}-{}.pk8", &secret.id().0[..16])), &pkcs8, 0o600)?;
        secrets.push(secret);
    }
    Ok(secrets)
}

/// All keys at hand. One that others may read is refused: it is no key any more.
fn secrets(folder: &Path) -> Result<Vec<SigningKey>> {
    let mut secrets = Vec::new();
    let keys = folder.join("keys");
    for entry in fs::read_dir(&keys).with_context(|| keys.display().to_string())? {
        let path = entry?.path();
        if path.extension().is_none_or(|e| e != "pk8") {
            continue;
        }
        let mode = fs::metadata(&path)?.mode() & 0o777;
        if mode & 0o077 != 0 {
            bail!(
                "{}: mode {mode:o} lets others read it; chmod 600, and rotate it if they may have",
                path.display()
            );
        }
        secrets.push(SigningKey::from_pkcs8(&fs::read(&path)?).with_context(|| path.display().to_string())?);
    }
    Ok(secrets)
}

/// In the order given, each whole before the next: the timestamp comes last and makes the release.
fn publish(folder: &Path, written: &[MetadataFile]) -> Result<()> {
    for MetadataFile { path, bytes } in written {
        let to = folder.join("metadata").join(path);
        if path != "timestamp.json" && to.exists() {
            bail!("{}: was published already", to.display());
        }
        write(&to, bytes, 0o644)?;
    }
    Ok(())
}

fn init(folder: &Path, keys: usize, threshold: u32) -> Result<()> {
    if folder.join(FILE).exists() {
        bail!("{}: is a repository already", folder.display());
    }
    for part in ["metadata", "targets", "keys"] {
        fs::create_dir_all(folder.join(part))?;
    }
    fs::set_permissions(folder.join("keys"), std::os::unix::fs::PermissionsExt::from_mode(0o700))?;
    let made: BTreeMap<&str, Vec<SigningKey>> =
        [(ROOT, keys), (TARGETS, keys), (SNAPSHOT, 1), (TIMESTAMP, 1)]
            .into_iter()
            .map(|(role, count)| Ok((role, new_keys(folder, role, count)?)))
            .collect::<Result<_>>()?;
    let roles = made
        .iter()
        .map(|(role, secrets)| {
            let needed = if secrets.len() == 1 { 1 } else { threshold };
            (role.to_string(), (secrets.iter().collect(), needed))
        })
        .collect();
    let mut repository = Repository::new(&roles, ExpiryPeriods::default())?;
    let by: Vec<&SigningKey> = made[ROOT].iter().collect();
    let root = repository.publish_root(&by, now())?;
    publish(folder, &[root])?;
    write_state(folder, &repository)?;
    println!(
        "made {}: give metadata/1.root.json to those who are to trust it, and move the root keys away",
        folder.display()
    );
    Ok(())
}

fn add(folder: &Path, file: &Path, name: Option<String>) -> Result<()> {
    let mut repository = read_state(folder)?;
    let bytes = fs::read(file).with_context(|| file.display().to_string())?;
    let own = || file.file_name().and_then(|n| n.to_str()).map(str::to_string);
    let name = name.or_else(own).context("the file has no name; give one with --as")?;
    let odd = |part: &str| part.is_empty() || part == "." || part == "..";
    if name.split('/').any(odd) {
        bail!("--as: {name:?} leads elsewhere");
    }
    let target = describe_target(&bytes);
    let (parent, last) = name.rsplit_once('/').unwrap_or(("", &name));
    let to = folder.join("targets").join(parent);
    fs::create_dir_all(&to)?;
    write(&to.join(format!("{}.{last}", target.hashes["sha256"])), &bytes, 0o644)?;
    repository.targets.targets.insert(name.clone(), target);
    write_state(folder, &repository)?;
    println!("{name}: {} bytes, in the next release", bytes.len());
    Ok(())
}

fn rotate(folder: &Path, role: &str, keys: usize, threshold: u32) -> Result<()> {
    let mut repository = read_state(folder)?;
    let old = secrets(folder)?;
    let new = new_keys(folder, role, keys)?;
    let by_old = repository.root.roles[ROOT].clone();
    repository.rotate_keys(role, &new.iter().collect::<Vec<_>>(), threshold)?;
    let root_keys = &repository.root.roles[ROOT].keyids;
    let signs = |s: &&SigningKey| by_old.keyids.contains(s.id()) || root_keys.contains(s.id());
    let by: Vec<&SigningKey> = old.iter().chain(&new).filter(signs).collect();
    let from_old = by.iter().filter(|s| by_old.keyids.contains(s.id())).count();
    if from_old < by_old.threshold as usize {
        bail!("{from_old} keys of the present root at hand, {} are needed", by_old.threshold);
    }
    let root = repository.publish_root(&by, now())?;
    println!("{role}: {} new keys in {}; publish next, so that they have signed", new.len(), root.path);
    publish(folder, &[root])?;
    write_state(folder, &repository)
}

/// Reads files of the folder as a client asks for them.
fn carry(
    client: &mut Client, folder: &Path, first: Result<Progress, MetadataError>,
) -> Result<Progress, MetadataError> {
    use std::io::Read;
    let mut came = first;
    loop {
        let want = match came? {
            Progress::NeedFile(want) => want,
            end => return Ok(end),
        };
        let mut bytes = Vec::new();
        let file = File::open(folder.join("metadata").join(&want.path));
        let read = file.and_then(|file| file.take(want.max_bytes + 1).read_to_end(&mut bytes));
        came = if read.is_ok() { client.on_file(&bytes) } else { client.on_file_missing() };
    }
}

struct Failed {
    why: String,
    kind: &'static str,
    code: u8,
}

fn refused(refusal: MetadataError) -> Failed {
    Failed { why: refusal.to_string(), kind: refusal.kind(), code: code(&refusal) }
}

fn verify(folder: &Path, root: &Path, targets: &[String], at: UnixSeconds) -> Result<Client, Failed> {
    let other = |why: String| Failed { why, kind: "unreadable", code: 6 };
    let bytes = fs::read(root).map_err(|e| other(format!("{}: {e}", root.display())))?;
    let mut client = Client::new(&bytes, VersionFloors::default(), Limits::default(), Planted::default())
        .map_err(refused)?;
    let want = client.refresh(at);
    carry(&mut client, folder, Ok(Progress::NeedFile(want))).map_err(refused)?;
    for name in targets {
        let first = client.find_target(at, 0, name);
        let Progress::TargetFound { target, .. } = carry(&mut client, folder, first).map_err(refused)? else {
            continue;
        };
        let path = folder.join("targets").join(client.target_path(name, &target));
        let bytes = fs::read(&path).map_err(|e| other(format!("{}: {e}", path.display())))?;
        let mut checking = TargetVerifier::new(&target, Planted::default());
        let checked = checking.update(&bytes).and_then(|()| checking.finish());
        checked.map_err(|why| Failed { why: format!("{name}: {why}"), kind: "target", code: 5 })?;
    }
    Ok(client)
}

fn table(client: &Client, at: UnixSeconds) {
    println!("{:<10} {:>8}  {:<21} left", "role", "version", "ends");
    for (role, version, ends) in client.trusted_roles() {
        let left = ends.0 - at.0;
        println!(
            "{role:<10} {:>8}  {:<21} {} h {} min",
            version.0,
            ends.to_string(),
            left / 3600,
            left % 3600 / 60
        );
    }
}

fn report(client: &Client) -> serde_json::Value {
    let roles = client.trusted_roles().into_iter();
    let roles: Vec<_> = roles
        .map(|(role, v, ends)| json!({"role": role, "version": v.0, "expires": ends.to_string()}))
        .collect();
    json!({ "well": true, "roles": roles })
}

pub fn run(command: Command) -> ExitCode {
    let done = match command {
        Command::Init { folder, keys, threshold } => init(&folder, keys, threshold),
        Command::Add { folder, file, name } => add(&folder, &file, name),
        Command::Remove { folder, name } => read_state(&folder).and_then(|mut repository| {
            if repository.targets.targets.remove(&name).is_none() {
                bail!("{name:?} is not in it");
            }
            write_state(&folder, &repository)
        }),
        Command::Publish { folder } => (|| {
            let mut repository = read_state(&folder)?;
            let secrets = secrets(&folder)?;
            let written = repository.publish(&secrets.iter().collect::<Vec<_>>(), now())?;
            // The state goes first: a release that was cut short leaves numbers unused, never used twice.
            write_state(&folder, &repository)?;
            publish(&folder, &written)?;
            written.iter().for_each(|w| println!("{} {} bytes", w.path, w.bytes.len()));
            Ok(())
        })(),
        Command::Rotate { folder, role, keys, threshold } => rotate(&folder, &role, keys, threshold),
        Command::Verify { folder, root, target, json, at } => {
            let at = at.map_or_else(now, |at| UnixSeconds(at.as_second()));
            let root = root.unwrap_or_else(|| folder.join("metadata/1.root.json"));
            return match verify(&folder, &root, &target, at) {
                Ok(client) if json => {
                    println!("{}", report(&client));
                    ExitCode::SUCCESS
                }
                Ok(client) => {
                    table(&client, at);
                    target.iter().for_each(|name| println!("{name}: as it was signed"));
                    ExitCode::SUCCESS
                }
                Err(Failed { why, kind, code }) => {
                    if json {
                        println!("{}", json!({"well": false, "kind": kind, "why": why}));
                    }
                    eprintln!("stagepondctl: {why}");
                    ExitCode::from(code)
                }
            };
        }
        Command::Show { folder, json } => {
            let root = folder.join("metadata/1.root.json");
            // Also what has ended is shown: so as of the beginning.
            return match verify(&folder, &root, &[], UnixSeconds(0)) {
                Ok(client) => {
                    if json {
                        println!("{}", report(&client));
                    } else {
                        table(&client, now());
                    }
                    ExitCode::SUCCESS
                }
                Err(failed) => {
                    eprintln!("stagepondctl: {}", failed.why);
                    ExitCode::from(failed.code)
                }
            };
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagepondctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}
