//! State files on disk: the persistent state of a leadership voter and the trusted TUF metadata. Each is one
//! small file that is replaced atomically. Nothing is reported as stored before it has been flushed to the
//! disk, and a write is never retried after a failed flush.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::{bail, Context, Result};
use stagepond_leadership::ids::Seat;
use stagepond_leadership::raft::PersistentState;
use stagepond_tuf::client::TrustedState;
use tokio::sync::mpsc;

use crate::messages::Input;

/// First bytes of a file with a voter's persistent state. The length of the body (u32, little-endian) and its
/// checksum (u64, little-endian) follow.
const PERSISTENT_STATE_MAGIC: &[u8; 8] = b"SPPROM01";
/// First bytes of a trusted metadata file; the header is laid out the same way.
const TRUSTED_METADATA_MAGIC: &[u8; 8] = b"SPTUF001";
const HEADER_BYTES: usize = PERSISTENT_STATE_MAGIC.len() + 4 + 8;
/// Size limit of a state file in bytes; the replicated log is bounded to less.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// 64-bit FNV-1a. Detects torn and corrupted files; it is no protection against an attacker, who could write
/// any file.
fn checksum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Reads the body of a state file and verifies its header; `None` if there is no file. `field` names the
/// setting and the path in errors.
fn read_file(path: &Path, magic: &[u8; 8], field: impl Fn() -> String) -> Result<Option<Vec<u8>>> {
    let metadata = match std::fs::symlink_metadata(path) {
        Ok(metadata) => metadata,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).with_context(field),
    };
    if !metadata.is_file() {
        bail!("{}: expected a regular file", field());
    }
    if metadata.len() > MAX_FILE_BYTES {
        bail!("{}: {} bytes, expected at most {MAX_FILE_BYTES}", field(), metadata.len());
    }
    let mut bytes = std::fs::read(path).with_context(&field)?;
    if bytes.len() < HEADER_BYTES || &bytes[..magic.len()] != magic {
        bail!("{}: expected a file that begins with {}", field(), String::from_utf8_lossy(magic));
    }
    let body = bytes.split_off(HEADER_BYTES);
    let length = u32::from_le_bytes(bytes[8..12].try_into().expect("four bytes"));
    let expected_checksum = u64::from_le_bytes(bytes[12..20].try_into().expect("eight bytes"));
    if body.len() != length as usize || checksum(&body) != expected_checksum {
        bail!("{}: damaged (wrong length or checksum); move it away to start without its state", field());
    }
    Ok(Some(body))
}

/// Reads the TUF metadata trusted by an earlier process; `None` if there is no file.
///
/// # Errors
///
/// An unreadable or damaged file is an error that names `tuf.state`: starting without the file would let a
/// rollback pass.
pub fn read_trusted_metadata(path: &Path) -> Result<Option<TrustedState>> {
    let field = || format!("tuf.state: {}", path.display());
    let Some(body) = read_file(path, TRUSTED_METADATA_MAGIC, field)? else { return Ok(None) };
    Ok(Some(serde_json::from_slice(&body).with_context(field)?))
}

/// Writes each state of the trusted metadata that it receives, outside the event loop. A failed write is
/// logged and not repeated; the next state is written again.
pub async fn write_trusted_metadata(path: PathBuf, mut states: mpsc::UnboundedReceiver<TrustedState>) {
    while let Some(state) = states.recv().await {
        let Ok(bytes) = serde_json::to_vec(&state) else { return };
        let target = path.clone();
        let written =
            tokio::task::spawn_blocking(move || write_file(&target, TRUSTED_METADATA_MAGIC, &bytes)).await;
        if let Ok(Err(error)) = written {
            tracing::error!(event = "trust_not_kept", "tuf.state: {}: {error}", path.display());
        }
    }
}

/// Reads the persistent state stored by an earlier process at this seat; `None` if there is no file.
///
/// # Errors
///
/// An unreadable or damaged file, or one of another seat, is an error that names `leadership.state`: a voter
/// that starts without its earlier state could vote twice in a term.
pub fn read_persistent_state(path: &Path, seat: Seat) -> Result<Option<PersistentState>> {
    let field = || format!("leadership.state: {}", path.display());
    let Some(body) = read_file(path, PERSISTENT_STATE_MAGIC, field)? else { return Ok(None) };
    let state = PersistentState::decode(&body, seat).with_context(|| {
        format!("{}: written by another seat or in another format, expected seat {}", field(), seat.0)
    })?;
    Ok(Some(state))
}

fn write_persistent_state(path: &Path, encoded: &[u8]) -> std::io::Result<()> {
    write_file(path, PERSISTENT_STATE_MAGIC, encoded)
}

/// Where the new contents of a file are written first. The whole name of the file is kept, because files that
/// differ in their extension alone must not share it.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}

/// Replaces the file atomically: writes and flushes a temporary file, renames it and flushes the directory.
fn write_file(path: &Path, magic: &[u8; 8], body: &[u8]) -> std::io::Result<()> {
    let temporary = temporary_path(path);
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&temporary)?;
    file.write_all(magic)?;
    file.write_all(&(body.len() as u32).to_le_bytes())?;
    file.write_all(&checksum(body).to_le_bytes())?;
    file.write_all(body)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}

/// Writes the persistent states that it receives, outside the event loop, and confirms each write with
/// [`Input::RaftStatePersisted`]. The states come with their numbers and encoded by
/// [`PersistentState::encode`]. Of several queued states only the last is written, as it includes the others.
/// After a failed write nothing is stored or confirmed any more, so the protocol sends no vote or
/// acknowledgement that depends on it.
pub async fn write_persistent_states(
    path: PathBuf, mut states: mpsc::UnboundedReceiver<(u64, Vec<u8>)>, inputs: mpsc::Sender<Input>,
) {
    while let Some(mut last) = states.recv().await {
        while let Ok(later) = states.try_recv() {
            last = later;
        }
        let (number, encoded) = last;
        let target = path.clone();
        let written = tokio::task::spawn_blocking(move || write_persistent_state(&target, &encoded)).await;
        match written {
            Ok(Ok(())) => {
                if inputs.send(Input::RaftStatePersisted(number)).await.is_err() {
                    return;
                }
            }
            Ok(Err(error)) => {
                tracing::error!(event = "promises_lost", "leadership.state: {}: {error}", path.display());
                return;
            }
            Err(_) => return,
        }
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;
    use stagepond_leadership::ids::Memory;

    use super::*;

    /// Two state files may differ in their extension alone; a write of one must not touch the other, whatever
    /// its name is.
    #[rstest]
    fn writing_a_state_file_leaves_its_neighbours_alone() {
        let directory = tempfile::tempdir().unwrap();
        let (written, neighbour) = (directory.path().join("state.a"), directory.path().join("state.new"));
        std::fs::write(&neighbour, "of another part").unwrap();
        write_file(&written, PERSISTENT_STATE_MAGIC, b"body").unwrap();
        assert_eq!(std::fs::read(&neighbour).ok().as_deref(), Some(&b"of another part"[..]));
    }

    /// A damaged or truncated file must be an error. Read as if there were none, it would let a voter forget
    /// its vote and its log.
    #[rstest]
    fn stored_state_is_read_back_and_a_damaged_file_is_an_error() {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("voter-state");
        assert!(read_persistent_state(&path, Seat(1)).unwrap().is_none());
        let state = PersistentState::empty(Seat(1), Memory(7));
        write_persistent_state(&path, &state.encode()).unwrap();
        assert_eq!(read_persistent_state(&path, Seat(1)).unwrap(), Some(state));
        assert!(read_persistent_state(&path, Seat(2)).is_err(), "the file belongs to seat 1");
        let original = std::fs::read(&path).unwrap();
        for length in 0..original.len() {
            std::fs::write(&path, &original[..length]).unwrap();
            assert!(read_persistent_state(&path, Seat(1)).is_err(), "truncated to {length} bytes");
        }
        for position in 0..original.len() {
            let mut damaged = original.clone();
            damaged[position] ^= 0x10;
            std::fs::write(&path, &damaged).unwrap();
            assert!(read_persistent_state(&path, Seat(1)).is_err(), "byte {position} damaged");
        }
    }
}
