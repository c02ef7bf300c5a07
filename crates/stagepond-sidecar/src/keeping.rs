//! Promises on a disk: one small file, written whole or not at all. It owns the file; it must never say that
//! something is kept before the disk has said so, and never try again over a flush that failed.

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

/// What a file of promises begins with; the length and a check sum of the rest follow.
const MARK: &[u8; 8] = b"SPPROM01";
const HEAD: usize = MARK.len() + 4 + 8;
/// A record is bounded to less.
const LENGTH_MAX: u64 = 1 << 20;

/// FNV-1a, 64 bit: against a torn or spoilt file, not against an attacker, who could write any file.
fn sum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// What a file of trusted metadata begins with.
const TRUSTED: &[u8; 8] = b"SPTUF001";

/// The body of a file that was written here, whole; `None` if there is no file.
fn read_as(path: &Path, mark: &[u8; 8], at: impl Fn() -> String) -> Result<Option<Vec<u8>>> {
    let about = match std::fs::symlink_metadata(path) {
        Ok(about) => about,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).with_context(at),
    };
    if !about.is_file() || about.len() > LENGTH_MAX {
        bail!("{}: is no file of this program", at());
    }
    let mut bytes = std::fs::read(path).with_context(&at)?;
    if bytes.len() < HEAD || &bytes[..mark.len()] != mark {
        bail!("{}: is no file of this program", at());
    }
    let body = bytes.split_off(HEAD);
    let length = u32::from_le_bytes(bytes[8..12].try_into().expect("four bytes"));
    let wanted = u64::from_le_bytes(bytes[12..20].try_into().expect("eight bytes"));
    if body.len() != length as usize || sum(&body) != wanted {
        bail!("{}: damaged; move it away to start without what it remembers", at());
    }
    Ok(Some(body))
}

/// What was trusted before. What can't be read is an error: without it a rollback would pass.
pub fn read_trusted(path: &Path) -> Result<Option<TrustedState>> {
    let at = || format!("tuf.state: {}", path.display());
    let Some(body) = read_as(path, TRUSTED, at)? else { return Ok(None) };
    Ok(Some(serde_json::from_slice(&body).with_context(at)?))
}

/// Keeps what is trusted as it comes, off the loop.
pub async fn keep_trusted(path: PathBuf, mut wanted: mpsc::UnboundedReceiver<TrustedState>) {
    while let Some(kept) = wanted.recv().await {
        let Ok(bytes) = serde_json::to_vec(&kept) else { return };
        let to = path.clone();
        let written = tokio::task::spawn_blocking(move || write_as(&to, TRUSTED, &bytes)).await;
        if let Ok(Err(error)) = written {
            tracing::error!(event = "trust_not_kept", "tuf.state: {}: {error}", path.display());
        }
    }
}

/// What an earlier process at this seat kept. `None` if there is no file; what can't be read is an error, as a
/// voter that starts without promises it made could break them.
pub fn read(path: &Path, seat: Seat) -> Result<Option<PersistentState>> {
    let at = || format!("leadership.state: {}", path.display());
    let Some(body) = read_as(path, MARK, at)? else { return Ok(None) };
    let promises = PersistentState::decode(&body, seat);
    Ok(Some(promises.with_context(|| format!("{}: of another seat or another form", at()))?))
}

fn write(path: &Path, promises: &[u8]) -> std::io::Result<()> {
    write_as(path, MARK, promises)
}

fn write_as(path: &Path, mark: &[u8; 8], promises: &[u8]) -> std::io::Result<()> {
    let new = path.with_extension("new");
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&new)?;
    file.write_all(mark)?;
    file.write_all(&(promises.len() as u32).to_le_bytes())?;
    file.write_all(&sum(promises).to_le_bytes())?;
    file.write_all(promises)?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Keeps promises as they come, off the loop; of several that wait only the last is written, as it holds the
/// others. After a failure nothing is kept any more, and so nothing is promised.
pub async fn keep(
    path: PathBuf, mut wanted: mpsc::UnboundedReceiver<(u64, Vec<u8>)>, inputs: mpsc::Sender<Input>,
) {
    while let Some(mut last) = wanted.recv().await {
        while let Ok(later) = wanted.try_recv() {
            last = later;
        }
        let (number, promises) = last;
        let to = path.clone();
        let written = tokio::task::spawn_blocking(move || write(&to, &promises)).await;
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

    #[rstest]
    fn what_is_kept_is_found_and_a_spoilt_file_is_not_taken_for_none() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("promises");
        assert!(read(&path, Seat(1)).unwrap().is_none());
        let promises = PersistentState::empty(Seat(1), Memory(7));
        write(&path, &promises.encode()).unwrap();
        assert_eq!(read(&path, Seat(1)).unwrap(), Some(promises));
        assert!(read(&path, Seat(2)).is_err(), "another seat's");
        let whole = std::fs::read(&path).unwrap();
        for cut in 0..whole.len() {
            std::fs::write(&path, &whole[..cut]).unwrap();
            assert!(read(&path, Seat(1)).is_err(), "cut at {cut}");
        }
        for at in 0..whole.len() {
            let mut spoilt = whole.clone();
            spoilt[at] ^= 0x10;
            std::fs::write(&path, &spoilt).unwrap();
            assert!(read(&path, Seat(1)).is_err(), "spoilt at {at}");
        }
    }
}
