//! `stagepondctl tuf`: a TUF repository in a folder.
//!
//! | path | content |
//! | --- | --- |
//! | `metadata/`, `targets/` | what clients read |
//! | `keys/` | private keys; only the signer may read them |
//! | `repository.json` | what the next release will sign |
//!
//! Private keys are never printed. Published metadata is never overwritten, except `timestamp.json`. Clients
//! never see a partial release.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt, PermissionsExt};
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

const METADATA_FOLDER: &str = "metadata";
const TARGETS_FOLDER: &str = "targets";
const KEYS_FOLDER: &str = "keys";
const REPOSITORY_FILE: &str = "repository.json";
const TIMESTAMP_FILE: &str = "timestamp.json";
const FIRST_ROOT: &str = "metadata/1.root.json";

/// File name extension of private keys (PKCS #8).
const KEY_EXTENSION: &str = "pk8";
/// How many characters of the key ID a key's file name holds.
const KEY_ID_PREFIX_LENGTH: usize = 16;

/// File mode of private keys.
const PRIVATE_FILE_MODE: u32 = 0o600;
/// File mode of everything else.
const PUBLIC_FILE_MODE: u32 = 0o644;

const EXIT_EXPIRED: u8 = 3;
const EXIT_NOT_SIGNED: u8 = 4;
const EXIT_NOT_AS_ANNOUNCED: u8 = 5;
const EXIT_UNREADABLE: u8 = 6;

/// Subcommands of `stagepondctl tuf`.
// clap derives the command line's names from the names of variants and fields.
#[derive(Subcommand)]
pub enum Command {
    /// Create a repository with new keys and its first root
    Init {
        folder: PathBuf,
        /// Number of keys for root and for targets
        #[arg(long, default_value_t = 3)]
        keys: usize,
        /// How many of these keys must sign
        #[arg(long, default_value_t = 2)]
        threshold: u32,
    },
    /// Add a target, or a new version of one, to the next release
    Add {
        folder: PathBuf,
        file: PathBuf,
        /// Target path for clients; default: the file's own name
        #[arg(long = "as")]
        name: Option<String>,
    },
    /// Remove a target from the next release
    Remove { folder: PathBuf, name: String },
    /// Sign and publish a release; clients see the previous one until the new timestamp is written
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
    /// Verify a repository as a client does, from a trusted root
    Verify {
        folder: PathBuf,
        /// The trusted root; default: the repository's first root
        #[arg(long)]
        root: Option<PathBuf>,
        /// Also verify the content of this target
        #[arg(long)]
        target: Vec<String>,
        #[arg(long)]
        json: bool,
        /// Verify as of this time (RFC 3339); default: now
        #[arg(long)]
        at: Option<jiff::Timestamp>,
    },
    /// Show the published versions and when they expire
    Show {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// Returns the exit code for rejected metadata.
///
/// Exit codes of the program: 0 success, 1 failure, 2 wrong arguments, 3 expired, 4 not signed by enough keys,
/// 5 older than or different from what was announced, 6 unreadable or missing.
fn metadata_exit_code(error: &MetadataError) -> u8 {
    match error.kind() {
        "expired" => EXIT_EXPIRED,
        "threshold" => EXIT_NOT_SIGNED,
        "rollback" | "other_version" | "other_bytes" | "dropped" | "below_floor" => EXIT_NOT_AS_ANNOUNCED,
        _ => EXIT_UNREADABLE,
    }
}

fn now() -> UnixSeconds {
    UnixSeconds(jiff::Timestamp::now().as_second())
}

/// Writes a file atomically and durably: after a crash it has either its old or its new content.
fn write_atomically(path: &Path, bytes: &[u8], mode: u32) -> Result<()> {
    let context = || format!("cannot write {}", path.display());
    let temporary = path.with_extension("new");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(&temporary)
        .with_context(context)?;
    file.write_all(bytes).and_then(|()| file.sync_all()).with_context(context)?;
    fs::rename(&temporary, path).with_context(context)?;
    let folder = path.parent().context("a file path without a folder")?;
    File::open(folder).and_then(|f| f.sync_all()).with_context(context)
}

fn read_repository(folder: &Path) -> Result<Repository> {
    let path = folder.join(REPOSITORY_FILE);
    let bytes =
        fs::read(&path).with_context(|| format!("cannot read {} (not a repository?)", path.display()))?;
    serde_json::from_slice(&bytes).with_context(|| format!("cannot parse {}", path.display()))
}

fn write_repository(folder: &Path, repository: &Repository) -> Result<()> {
    let bytes = serde_json::to_vec_pretty(repository)?;
    write_atomically(&folder.join(REPOSITORY_FILE), &bytes, PUBLIC_FILE_MODE)
}

/// Generates keys for a role and stores them in the repository's key folder.
fn generate_keys(folder: &Path, role: &str, count: usize) -> Result<Vec<SigningKey>> {
    let mut keys = Vec::new();
    for _ in 0..count {
        let (key, pkcs8) = SigningKey::generate()?;
        let id_prefix = &key.id().0[..KEY_ID_PREFIX_LENGTH];
        let path = folder.join(KEYS_FOLDER).join(format!("{role}-{id_prefix}.{KEY_EXTENSION}"));
        write_atomically(&path, &pkcs8, PRIVATE_FILE_MODE)?;
        keys.push(key);
    }
    Ok(keys)
}

/// Reads all private keys in the repository's key folder.
///
/// # Errors
///
/// Fails if a key file is readable by other users: that key may have been copied and must not sign any more.
fn read_signing_keys(folder: &Path) -> Result<Vec<SigningKey>> {
    let mut signing_keys = Vec::new();
    let keys_folder = folder.join(KEYS_FOLDER);
    let entries =
        fs::read_dir(&keys_folder).with_context(|| format!("cannot read {}", keys_folder.display()))?;
    for entry in entries {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != KEY_EXTENSION) {
            continue;
        }
        let mode = fs::metadata(&path)?.mode() & 0o777;
        if mode & 0o077 != 0 {
            bail!(
                "{}: mode {mode:o} lets other users read this key; chmod 600, and rotate it if they may have \
                 read it",
                path.display()
            );
        }
        let key = SigningKey::from_pkcs8(&fs::read(&path)?)
            .with_context(|| format!("cannot use {}", path.display()))?;
        signing_keys.push(key);
    }
    Ok(signing_keys)
}

/// Writes metadata files in the given order, each one completely before the next. The timestamp comes last:
/// clients see the new release once it is written.
fn write_metadata(folder: &Path, files: &[MetadataFile]) -> Result<()> {
    for MetadataFile { path, bytes } in files {
        let destination = folder.join(METADATA_FOLDER).join(path);
        if path != TIMESTAMP_FILE && destination.exists() {
            bail!("{} already exists; published metadata is not overwritten", destination.display());
        }
        write_atomically(&destination, bytes, PUBLIC_FILE_MODE)?;
    }
    Ok(())
}

fn init(folder: &Path, key_count: usize, threshold: u32) -> Result<()> {
    if folder.join(REPOSITORY_FILE).exists() {
        bail!("{} is already a repository", folder.display());
    }
    for part in [METADATA_FOLDER, TARGETS_FOLDER, KEYS_FOLDER] {
        fs::create_dir_all(folder.join(part))?;
    }
    fs::set_permissions(folder.join(KEYS_FOLDER), PermissionsExt::from_mode(0o700))?;
    let role_keys: BTreeMap<&str, Vec<SigningKey>> =
        [(ROOT, key_count), (TARGETS, key_count), (SNAPSHOT, 1), (TIMESTAMP, 1)]
            .into_iter()
            .map(|(role, count)| Ok((role, generate_keys(folder, role, count)?)))
            .collect::<Result<_>>()?;
    let roles = role_keys
        .iter()
        .map(|(role, keys)| {
            let role_threshold = if keys.len() == 1 { 1 } else { threshold };
            (role.to_string(), (keys.iter().collect(), role_threshold))
        })
        .collect();
    let mut repository = Repository::new(&roles, ExpiryPeriods::default())?;
    let root_signers: Vec<&SigningKey> = role_keys[ROOT].iter().collect();
    let root = repository.publish_root(&root_signers, now())?;
    write_metadata(folder, &[root])?;
    write_repository(folder, &repository)?;
    println!(
        "created {}; distribute {FIRST_ROOT} to the clients that are to trust it, and store the root keys \
         elsewhere",
        folder.display()
    );
    Ok(())
}

fn add(folder: &Path, file: &Path, name: Option<String>) -> Result<()> {
    let mut repository = read_repository(folder)?;
    let bytes = fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
    let file_name = || file.file_name().and_then(|n| n.to_str()).map(str::to_string);
    let name = name.or_else(file_name).context("the file has no name; give one with --as")?;
    let is_unsafe = |part: &str| part.is_empty() || part == "." || part == "..";
    if name.split('/').any(is_unsafe) {
        bail!("--as: {name:?} must not contain empty parts, `.` or `..`");
    }
    let target = describe_target(&bytes);
    let (parent, last) = name.rsplit_once('/').unwrap_or(("", &name));
    let target_folder = folder.join(TARGETS_FOLDER).join(parent);
    fs::create_dir_all(&target_folder)?;
    let stored_name = format!("{}.{last}", target.hashes["sha256"]);
    write_atomically(&target_folder.join(stored_name), &bytes, PUBLIC_FILE_MODE)?;
    repository.targets.targets.insert(name.clone(), target);
    write_repository(folder, &repository)?;
    println!("{name}: {} bytes, in the next release", bytes.len());
    Ok(())
}

fn remove(folder: &Path, name: &str) -> Result<()> {
    let mut repository = read_repository(folder)?;
    if repository.targets.targets.remove(name).is_none() {
        bail!("target {name:?} is not in the repository");
    }
    write_repository(folder, &repository)
}

fn publish(folder: &Path) -> Result<()> {
    let mut repository = read_repository(folder)?;
    let signing_keys = read_signing_keys(folder)?;
    let files = repository.publish(&signing_keys.iter().collect::<Vec<_>>(), now())?;
    // The repository file is written first: if publishing is interrupted, version numbers are skipped but never
    // used twice.
    write_repository(folder, &repository)?;
    write_metadata(folder, &files)?;
    files.iter().for_each(|file| println!("{} {} bytes", file.path, file.bytes.len()));
    Ok(())
}

/// Replaces a role's keys. The next root is signed with the keys of the current root and of the next one, as
/// clients require (TUF specification, section 5.3.4).
fn rotate(folder: &Path, role: &str, key_count: usize, threshold: u32) -> Result<()> {
    let mut repository = read_repository(folder)?;
    let existing_keys = read_signing_keys(folder)?;
    let new_keys = generate_keys(folder, role, key_count)?;
    let current_root = repository.root.roles[ROOT].clone();
    repository.rotate_keys(role, &new_keys.iter().collect::<Vec<_>>(), threshold)?;
    let next_root_ids = &repository.root.roles[ROOT].keyids;
    let signs_root =
        |key: &&SigningKey| current_root.keyids.contains(key.id()) || next_root_ids.contains(key.id());
    let signers: Vec<&SigningKey> = existing_keys.iter().chain(&new_keys).filter(signs_root).collect();
    let current_signers = signers.iter().filter(|key| current_root.keyids.contains(key.id())).count();
    if current_signers < current_root.threshold as usize {
        bail!(
            "{current_signers} keys of the current root available, threshold is {}",
            current_root.threshold
        );
    }
    let root = repository.publish_root(&signers, now())?;
    println!(
        "{role}: {} new keys in {}; run publish next, so that they sign a release",
        new_keys.len(),
        root.path
    );
    write_metadata(folder, &[root])?;
    write_repository(folder, &repository)
}

/// Passes the metadata files that the client requests from the folder, until it requests no more.
fn supply_metadata(
    client: &mut Client, folder: &Path, first: Result<Progress, MetadataError>,
) -> Result<Progress, MetadataError> {
    let mut progress = first;
    loop {
        let request = match progress? {
            Progress::NeedFile(request) => request,
            finished => return Ok(finished),
        };
        let mut bytes = Vec::new();
        let file = File::open(folder.join(METADATA_FOLDER).join(&request.path));
        // One byte more than allowed, so that the client notices a file that is too long.
        let read = file.and_then(|file| file.take(request.max_bytes + 1).read_to_end(&mut bytes));
        progress = if read.is_ok() { client.on_file(&bytes) } else { client.on_file_missing() };
    }
}

/// Why a repository failed verification.
struct VerifyError {
    reason: String,
    /// Written as `kind` in the JSON report.
    kind: &'static str,
    exit_code: u8,
}

impl VerifyError {
    fn unreadable(path: &Path, error: &std::io::Error) -> VerifyError {
        let reason = format!("{}: {error}", path.display());
        VerifyError { reason, kind: "unreadable", exit_code: EXIT_UNREADABLE }
    }
}

impl From<MetadataError> for VerifyError {
    fn from(error: MetadataError) -> VerifyError {
        let exit_code = metadata_exit_code(&error);
        VerifyError { reason: error.to_string(), kind: error.kind(), exit_code }
    }
}

/// Verifies the repository from a trusted root, and the content of the named targets.
fn verify(folder: &Path, root: &Path, targets: &[String], at: UnixSeconds) -> Result<Client, VerifyError> {
    let root_bytes = fs::read(root).map_err(|error| VerifyError::unreadable(root, &error))?;
    let mut client =
        Client::new(&root_bytes, VersionFloors::default(), Limits::default(), Planted::default())?;
    let first_request = client.refresh(at);
    supply_metadata(&mut client, folder, Ok(Progress::NeedFile(first_request)))?;
    for name in targets {
        let first = client.find_target(at, 0, name);
        let Progress::TargetFound { target, .. } = supply_metadata(&mut client, folder, first)? else {
            continue;
        };
        let path = folder.join(TARGETS_FOLDER).join(client.target_path(name, &target));
        let bytes = fs::read(&path).map_err(|error| VerifyError::unreadable(&path, &error))?;
        let mut verifier = TargetVerifier::new(&target, Planted::default());
        verifier.update(&bytes).and_then(|()| verifier.finish()).map_err(|error| VerifyError {
            reason: format!("{name}: {error}"),
            kind: "target",
            exit_code: EXIT_NOT_AS_ANNOUNCED,
        })?;
    }
    Ok(client)
}

fn print_table(client: &Client, at: UnixSeconds) {
    println!("{:<10} {:>8}  {:<21} left", "role", "version", "ends");
    for (role, version, expires) in client.trusted_roles() {
        let seconds_left = expires.0 - at.0;
        println!(
            "{role:<10} {:>8}  {:<21} {} h {} min",
            version.0,
            expires.to_string(),
            seconds_left / 3600,
            seconds_left % 3600 / 60
        );
    }
}

fn json_report(client: &Client) -> serde_json::Value {
    let roles: Vec<_> = client
        .trusted_roles()
        .into_iter()
        .map(|(role, version, expires)| {
            json!({"role": role, "version": version.0, "expires": expires.to_string()})
        })
        .collect();
    json!({ "well": true, "roles": roles })
}

fn run_verify(folder: &Path, root: &Path, targets: &[String], json: bool, at: UnixSeconds) -> ExitCode {
    match verify(folder, root, targets, at) {
        Ok(client) if json => {
            println!("{}", json_report(&client));
            ExitCode::SUCCESS
        }
        Ok(client) => {
            print_table(&client, at);
            targets.iter().for_each(|name| println!("{name}: content matches the signed metadata"));
            ExitCode::SUCCESS
        }
        Err(VerifyError { reason, kind, exit_code }) => {
            if json {
                println!("{}", json!({"well": false, "kind": kind, "why": reason}));
            }
            eprintln!("stagepondctl: {reason}");
            ExitCode::from(exit_code)
        }
    }
}

fn run_show(folder: &Path, json: bool) -> ExitCode {
    // Verified as of 1970, so that expired metadata is shown too.
    match verify(folder, &folder.join(FIRST_ROOT), &[], UnixSeconds(0)) {
        Ok(client) => {
            if json {
                println!("{}", json_report(&client));
            } else {
                print_table(&client, now());
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("stagepondctl: {}", error.reason);
            ExitCode::from(error.exit_code)
        }
    }
}

/// Runs a subcommand, prints its result and returns the exit code.
pub fn run(command: Command) -> ExitCode {
    let result = match command {
        Command::Init { folder, keys, threshold } => init(&folder, keys, threshold),
        Command::Add { folder, file, name } => add(&folder, &file, name),
        Command::Remove { folder, name } => remove(&folder, &name),
        Command::Publish { folder } => publish(&folder),
        Command::Rotate { folder, role, keys, threshold } => rotate(&folder, &role, keys, threshold),
        Command::Verify { folder, root, target, json, at } => {
            let at = at.map_or_else(now, |at| UnixSeconds(at.as_second()));
            let root = root.unwrap_or_else(|| folder.join(FIRST_ROOT));
            return run_verify(&folder, &root, &target, json, at);
        }
        Command::Show { folder, json } => return run_show(&folder, json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stagepondctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}
