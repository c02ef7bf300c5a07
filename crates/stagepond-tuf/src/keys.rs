//! Keys, signatures and thresholds (TUF specification, sections 4.2 and 4.3), with `ring` as the cryptography
//! library. This module defines the supported schemes and the key IDs, and counts a key once whatever key IDs
//! it is listed under.

use std::collections::{BTreeMap, BTreeSet};

use ring::rand::SystemRandom;
use ring::signature::{self, EcdsaKeyPair, Ed25519KeyPair, KeyPair as _, UnparsedPublicKey};

use crate::metadata::{canonical_json, FormatError, Key, KeyId, KeyValue, RoleKeys, Signature};
use crate::planted::{Fault, Planted};

/// Why a public key can't verify signatures.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// [`verify_signature`] does not support this pair of key type and scheme.
    #[error(
        "key type {keytype:?} with scheme {scheme:?} is not supported, expected scheme ed25519, \
         ecdsa-sha2-nistp256 or rsassa-pss-sha256 with its key type"
    )]
    UnsupportedScheme { keytype: String, scheme: String },
    /// `keyval.public` is neither valid hex nor a valid PEM, as the key type requires.
    #[error("keyval.public is neither hex (ed25519) nor a PEM public key (ecdsa, rsa)")]
    InvalidPublicKey,
}

/// The key ID: SHA-256 of the key's canonical form in hex (section 4.2). `None` if the key has no canonical
/// form.
pub fn key_id(key: &Key) -> Option<KeyId> {
    let bytes = canonical_json(key).ok()?;
    Some(KeyId(hex::encode(ring::digest::digest(&ring::digest::SHA256, &bytes))))
}

/// The public key bits of a SubjectPublicKeyInfo (RFC 5280, section 4.1.2.7) in PEM.
fn decode_spki(text: &str) -> Option<Vec<u8>> {
    let pem = pem::parse(text).ok().filter(|p| p.tag() == "PUBLIC KEY")?;
    let info = spki::SubjectPublicKeyInfoRef::try_from(pem.contents()).ok()?;
    info.subject_public_key.as_bytes().map(<[u8]>::to_vec)
}

/// Whether `sig` is a valid signature of `key` over `bytes`. Supported are `ed25519`, `ecdsa-sha2-nistp256`
/// and `rsassa-pss-sha256` with keys of 2048 to 8192 bits.
///
/// # Errors
/// [`KeyError`] if the key's scheme is not supported or its public part can't be decoded.
pub fn verify_signature(key: &Key, bytes: &[u8], sig: &[u8]) -> Result<bool, KeyError> {
    let (algorithm, public): (&dyn signature::VerificationAlgorithm, _) =
        match (key.keytype.as_str(), key.scheme.as_str()) {
            ("ed25519", "ed25519") => {
                let public = hex::decode(&key.keyval.public).map_err(|_| KeyError::InvalidPublicKey)?;
                (&signature::ED25519, public)
            }
            ("ecdsa" | "ecdsa-sha2-nistp256", "ecdsa-sha2-nistp256") => (
                &signature::ECDSA_P256_SHA256_ASN1,
                decode_spki(&key.keyval.public).ok_or(KeyError::InvalidPublicKey)?,
            ),
            ("rsa", "rsassa-pss-sha256") => (
                &signature::RSA_PSS_2048_8192_SHA256,
                decode_spki(&key.keyval.public).ok_or(KeyError::InvalidPublicKey)?,
            ),
            (keytype, scheme) => {
                return Err(KeyError::UnsupportedScheme { keytype: keytype.into(), scheme: scheme.into() })
            }
        };
    Ok(UnparsedPublicKey::new(algorithm, public).verify(bytes, sig).is_ok())
}

/// Number of distinct keys of a role with a valid signature, and the role's threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignatureCount {
    /// Distinct keys with a valid signature.
    pub valid: u32,
    /// Distinct keys that must sign.
    pub threshold: u32,
}

impl SignatureCount {
    /// Whether enough distinct keys signed.
    pub fn meets_threshold(self) -> bool {
        self.valid >= self.threshold
    }
}

/// Counts the distinct keys of a role with a valid signature over `bytes`. A key that is listed under several
/// key IDs counts once.
pub fn count_signatures(
    keys: &BTreeMap<KeyId, Key>, role: &RoleKeys, bytes: &[u8], signatures: &[Signature], planted: Planted,
) -> SignatureCount {
    let mut signers: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut valid_signatures = 0;
    for signature in signatures {
        let listed = role.keyids.contains(&signature.keyid) || planted.has(Fault::AnyRole);
        let Some(key) = keys.get(&signature.keyid).filter(|_| listed) else { continue };
        // A key ID that doesn't belong to its key could refer to a different key in another file.
        if key_id(key).as_ref() != Some(&signature.keyid) {
            continue;
        }
        let Ok(sig) = hex::decode(&signature.sig) else { continue };
        if verify_signature(key, bytes, &sig) == Ok(true) {
            signers.insert((&key.keyval.public, &key.scheme));
            valid_signatures += 1;
        }
    }
    let valid = if planted.has(Fault::SameKeyTwice) { valid_signatures } else { signers.len() as u32 };
    let threshold = if planted.has(Fault::AnyOne) { 1 } else { role.threshold };
    SignatureCount { valid, threshold }
}

/// Why a key can't be loaded or can't sign.
#[derive(Debug, thiserror::Error)]
pub enum SigningError {
    /// The bytes are not a private key of a supported type.
    #[error("not a PKCS#8 key of type Ed25519, ECDSA P-256 or RSA with 2048 bits or more: {0}")]
    InvalidKey(String),
    /// The content to sign has no canonical form.
    #[error("content can't be signed: {0}")]
    InvalidContent(FormatError),
    /// The system provides no random numbers, or the signature failed for another reason.
    #[error("the system's random number generator failed")]
    RandomUnavailable,
}

enum PrivateKey {
    Ed25519(Ed25519KeyPair),
    Ecdsa(EcdsaKeyPair),
    Rsa(ring::rsa::KeyPair),
}

/// A private key that signs metadata, with its public part. `Debug` shows only the key ID.
pub struct SigningKey {
    private: PrivateKey,
    public: Key,
    id: KeyId,
}

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secret({})", self.id.0)
    }
}

/// A SubjectPublicKeyInfo in PEM: the DER header of the algorithm, followed by the public key bits.
fn spki_pem(header: &[u8], bits: &[u8]) -> String {
    let mut der = header.to_vec();
    der.extend(bits);
    let config = pem::EncodeConfig::new().set_line_ending(pem::LineEnding::LF);
    pem::encode_config(&pem::Pem::new("PUBLIC KEY", der), config)
}

/// DER header of an id-ecPublicKey with prime256v1 (RFC 5480) and an uncompressed point of 65 bytes.
const P256_SPKI_HEADER: [u8; 26] = [
    0x30, 0x59, 0x30, 0x13, 0x06, 0x07, 0x2a, 0x86, 0x48, 0xce, 0x3d, 0x02, 0x01, 0x06, 0x08, 0x2a, 0x86,
    0x48, 0xce, 0x3d, 0x03, 0x01, 0x07, 0x03, 0x42, 0x00,
];

impl SigningKey {
    /// Generates an Ed25519 key and returns it with its PKCS#8 form (DER) for storage.
    ///
    /// # Errors
    /// [`SigningError::RandomUnavailable`] if the system provides no random numbers.
    pub fn generate() -> Result<(SigningKey, Vec<u8>), SigningError> {
        let pkcs8 = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new())
            .map_err(|_| SigningError::RandomUnavailable)?;
        Ok((SigningKey::from_pkcs8(pkcs8.as_ref())?, pkcs8.as_ref().to_vec()))
    }

    /// An Ed25519 key derived from a seed, for reproducible tests and proofs only.
    pub fn from_seed(seed: [u8; 32]) -> SigningKey {
        let pair = Ed25519KeyPair::from_seed_unchecked(&seed).expect("an Ed25519 seed has 32 bytes");
        SigningKey::ed25519(pair)
    }

    fn new(private: PrivateKey, keytype: &str, scheme: &str, public: String) -> SigningKey {
        let (keytype, scheme) = (keytype.to_string(), scheme.to_string());
        let public = Key { keytype, scheme, keyval: KeyValue { public }, other: BTreeMap::new() };
        let id = key_id(&public).expect("strings have a canonical form");
        SigningKey { private, public, id }
    }

    fn ed25519(pair: Ed25519KeyPair) -> SigningKey {
        let public = hex::encode(pair.public_key().as_ref());
        SigningKey::new(PrivateKey::Ed25519(pair), "ed25519", "ed25519", public)
    }

    /// Loads a PKCS#8 key (DER): Ed25519, ECDSA over P-256, or RSA of at least 2048 bits.
    ///
    /// # Errors
    /// [`SigningError::InvalidKey`] for any other content. Its text is the reason why the bytes are not an
    /// RSA key, the last type tried.
    pub fn from_pkcs8(pkcs8: &[u8]) -> Result<SigningKey, SigningError> {
        if let Ok(pair) = Ed25519KeyPair::from_pkcs8(pkcs8) {
            return Ok(SigningKey::ed25519(pair));
        }
        let ecdsa = &signature::ECDSA_P256_SHA256_ASN1_SIGNING;
        if let Ok(pair) = EcdsaKeyPair::from_pkcs8(ecdsa, pkcs8, &SystemRandom::new()) {
            let public = spki_pem(&P256_SPKI_HEADER, pair.public_key().as_ref());
            return Ok(SigningKey::new(PrivateKey::Ecdsa(pair), "ecdsa", "ecdsa-sha2-nistp256", public));
        }
        let pair = ring::rsa::KeyPair::from_pkcs8(pkcs8)
            .map_err(|error| SigningError::InvalidKey(error.to_string()))?;
        let bits = pair.public().as_ref().to_vec();
        let public = spki_pem(&rsa_spki_header(bits.len()), &bits);
        Ok(SigningKey::new(PrivateKey::Rsa(pair), "rsa", "rsassa-pss-sha256", public))
    }

    /// The key ID of the public part.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// The public part, as listed in metadata.
    pub fn public_key(&self) -> &Key {
        &self.public
    }

    /// Signs `bytes`.
    ///
    /// # Errors
    /// [`SigningError::RandomUnavailable`] if a scheme that needs random numbers gets none.
    pub fn sign(&self, bytes: &[u8]) -> Result<Signature, SigningError> {
        let random = SystemRandom::new();
        let sig = match &self.private {
            PrivateKey::Ed25519(pair) => pair.sign(bytes).as_ref().to_vec(),
            PrivateKey::Ecdsa(pair) => {
                pair.sign(&random, bytes).map_err(|_| SigningError::RandomUnavailable)?.as_ref().to_vec()
            }
            PrivateKey::Rsa(pair) => {
                let mut sig = vec![0; pair.public().modulus_len()];
                pair.sign(&signature::RSA_PSS_SHA256, &random, bytes, &mut sig)
                    .map_err(|_| SigningError::RandomUnavailable)?;
                sig
            }
        };
        Ok(Signature { keyid: self.id.clone(), sig: hex::encode(sig) })
    }
}

/// DER header of an rsaEncryption key (RFC 8017, appendix A.1) before `len` bytes of PKCS#1 key. `len` is at
/// least 256, so that each length takes the two-byte form.
fn rsa_spki_header(len: usize) -> Vec<u8> {
    let two_byte_length = |n: usize| [0x82, (n >> 8) as u8, n as u8];
    let algorithm =
        [0x30, 0x0d, 0x06, 0x09, 0x2a, 0x86, 0x48, 0x86, 0xf7, 0x0d, 0x01, 0x01, 0x01, 0x05, 0x00];
    let mut header = vec![0x30];
    header.extend(two_byte_length(algorithm.len() + 4 + len + 1));
    header.extend(algorithm);
    header.push(0x03);
    header.extend(two_byte_length(len + 1));
    header.push(0);
    header
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn generate_rsa_key() -> Vec<u8> {
        use rsa::pkcs8::EncodePrivateKey;
        let key = rsa::RsaPrivateKey::new(&mut rsa::rand_core::OsRng, 2048).unwrap();
        key.to_pkcs8_der().unwrap().as_bytes().to_vec()
    }

    fn generate_ecdsa_key() -> Vec<u8> {
        let ecdsa = &signature::ECDSA_P256_SHA256_ASN1_SIGNING;
        EcdsaKeyPair::generate_pkcs8(ecdsa, &SystemRandom::new()).unwrap().as_ref().to_vec()
    }

    #[rstest]
    #[case::ed25519(SigningKey::generate().unwrap().1)]
    #[case::ecdsa(generate_ecdsa_key())]
    #[case::rsa(generate_rsa_key())]
    fn each_scheme_signs_and_verifies(#[case] pkcs8: Vec<u8>) {
        let key = SigningKey::from_pkcs8(&pkcs8).unwrap();
        let signature = key.sign(b"content").unwrap();
        let sig = hex::decode(&signature.sig).unwrap();
        assert_eq!(verify_signature(key.public_key(), b"content", &sig), Ok(true));
        assert_eq!(verify_signature(key.public_key(), b"other content", &sig), Ok(false));
        assert!(!format!("{key:?}").contains(&hex::encode(&pkcs8[pkcs8.len() - 8..])));
    }

    #[rstest]
    fn a_key_counts_once_and_only_under_its_own_key_id() {
        let (a, b) = (SigningKey::from_seed([1; 32]), SigningKey::from_seed([2; 32]));
        let mut keys: BTreeMap<KeyId, Key> =
            [&a, &b].iter().map(|key| (key.id().clone(), key.public_key().clone())).collect();
        let foreign_id = KeyId("0".repeat(64));
        keys.insert(foreign_id.clone(), a.public_key().clone());
        let role =
            RoleKeys { keyids: vec![a.id().clone(), b.id().clone(), foreign_id.clone()], threshold: 2 };
        let sig = a.sign(b"x").unwrap();
        let under_foreign_id = Signature { keyid: foreign_id, sig: sig.sig.clone() };
        let counted =
            |signatures: &[Signature]| count_signatures(&keys, &role, b"x", signatures, Planted::default());
        assert_eq!(counted(&[sig.clone(), sig.clone(), under_foreign_id]).valid, 1);
        assert!(counted(&[sig, b.sign(b"x").unwrap()]).meets_threshold());
    }
}
