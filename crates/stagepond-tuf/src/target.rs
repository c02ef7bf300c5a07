//! Verification of a target's bytes against its length and hashes (TUF specification, section 5.7.3) as they
//! arrive, without storing them. The result is known only after the last byte.

use ring::digest::{Context, SHA256, SHA512};

use crate::metadata::Target;
use crate::planted::{Fault, Planted};

/// Why a target's bytes are not the ones that the signed metadata describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// More bytes than the signed length.
    #[error("longer than the signed length of {0} bytes")]
    TooLong(u64),
    /// Fewer bytes than the signed length.
    #[error("received {received} of {expected} bytes")]
    TooShort { received: u64, expected: u64 },
    /// The hash of the named algorithm differs.
    #[error("{0} differs from the signed hash")]
    HashMismatch(&'static str),
}

/// Verifies one target as its bytes arrive: [`TargetVerifier::update`] for each piece, then
/// [`TargetVerifier::finish`].
pub struct TargetVerifier<'a> {
    target: &'a Target,
    received: u64,
    hashes: Vec<RunningHash<'a>>,
    planted: Planted,
}

/// The hash of the bytes received so far, and the signed hash in hex that it must become.
struct RunningHash<'a> {
    algorithm: &'static str,
    received: Context,
    signed: &'a str,
}

impl<'a> TargetVerifier<'a> {
    /// Starts the verification of a target. Hashes of unsupported algorithms are ignored.
    pub fn new(target: &'a Target, planted: Planted) -> TargetVerifier<'a> {
        let supported = [("sha256", &SHA256), ("sha512", &SHA512)];
        let with_signed_hash = |(name, algorithm)| {
            let signed = target.hashes.get(name)?.as_str();
            Some(RunningHash { algorithm: name, received: Context::new(algorithm), signed })
        };
        let hashes = supported.into_iter().filter_map(with_signed_hash).collect();
        TargetVerifier { target, received: 0, hashes, planted }
    }

    /// Adds the next piece.
    ///
    /// # Errors
    /// [`TargetError::TooLong`]; it is final, the rest need not be read.
    pub fn update(&mut self, bytes: &[u8]) -> Result<(), TargetError> {
        self.received += bytes.len() as u64;
        if self.received > self.target.length && !self.planted.has(Fault::TargetUnchecked) {
            return Err(TargetError::TooLong(self.target.length));
        }
        self.hashes.iter_mut().for_each(|hash| hash.received.update(bytes));
        Ok(())
    }

    /// Ends the verification after the last piece.
    ///
    /// # Errors
    /// [`TargetError::TooShort`] or [`TargetError::HashMismatch`].
    pub fn finish(self) -> Result<(), TargetError> {
        if self.planted.has(Fault::TargetUnchecked) {
            return Ok(());
        }
        if self.received < self.target.length {
            return Err(TargetError::TooShort { received: self.received, expected: self.target.length });
        }
        for hash in self.hashes {
            if hex::encode(hash.received.finish()) != hash.signed.to_ascii_lowercase() {
                return Err(TargetError::HashMismatch(hash.algorithm));
            }
        }
        Ok(())
    }
}

/// The description of a target with these bytes, for signing: length, SHA-256 and SHA-512.
pub fn describe_target(bytes: &[u8]) -> Target {
    let hash = |algorithm| hex::encode(ring::digest::digest(algorithm, bytes));
    let hashes = [("sha256", hash(&SHA256)), ("sha512", hash(&SHA512))];
    let hashes = hashes.into_iter().map(|(name, hash)| (name.to_string(), hash)).collect();
    Target { length: bytes.len() as u64, hashes, custom: None }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn verify_in_pieces(target: &Target, bytes: &[u8], piece_bytes: usize) -> Result<(), TargetError> {
        let mut verifier = TargetVerifier::new(target, Planted::default());
        for piece in bytes.chunks(piece_bytes) {
            verifier.update(piece)?;
        }
        verifier.finish()
    }

    #[rstest]
    fn pieces_of_any_size_verify_and_any_changed_byte_fails() {
        let bytes: Vec<u8> = (0..=255).collect();
        let target = describe_target(&bytes);
        for piece_bytes in [1, 7, 256] {
            assert_eq!(verify_in_pieces(&target, &bytes, piece_bytes), Ok(()));
            assert_eq!(
                verify_in_pieces(&target, &bytes[..255], piece_bytes),
                Err(TargetError::TooShort { received: 255, expected: 256 })
            );
            let longer: Vec<u8> = (0..=255).chain([0]).collect();
            assert_eq!(verify_in_pieces(&target, &longer, piece_bytes), Err(TargetError::TooLong(256)));
        }
        for at in 0..bytes.len() {
            let mut corrupted = bytes.clone();
            corrupted[at] ^= 1;
            assert_eq!(verify_in_pieces(&target, &corrupted, 64), Err(TargetError::HashMismatch("sha256")));
        }
    }
}
