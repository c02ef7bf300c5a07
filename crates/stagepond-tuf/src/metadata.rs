//! Metadata file formats (TUF specification, sections 4.2 to 4.6) as typed values. This module parses files
//! (with bounded depth and counts, without duplicate names or fractions) and produces the canonical JSON that
//! is signed. It checks neither signatures nor expiry.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use olpc_cjson::CanonicalFormatter;
use serde::de::{DeserializeSeed, Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};

/// Name of the root role. Any name other than the four top-level ones is that of a delegated role.
pub const ROOT: &str = "root";
/// Name of the timestamp role.
pub const TIMESTAMP: &str = "timestamp";
/// Name of the snapshot role.
pub const SNAPSHOT: &str = "snapshot";
/// Name of the top-level targets role.
pub const TARGETS: &str = "targets";

/// Version of the specification that new files state.
const SPEC_VERSION: &str = "1.0.33";

/// Longest name of a delegated role, in bytes. The name becomes part of a file name.
pub const MAX_ROLE_NAME_BYTES: usize = 128;
/// Most signatures, most keys and most key IDs of one role that a metadata file may list.
pub const MAX_KEYS_PER_FILE: usize = 64;

/// Why bytes are not valid metadata.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// Not JSON, or JSON with a duplicate name, a fraction or too deep nesting.
    #[error("invalid JSON: {0}")]
    Json(String),
    /// A field is missing, has the wrong type or an invalid value.
    #[error("{0}")]
    Field(String),
    /// The file is of another type than the one requested.
    #[error("_type is {found:?}, expected {expected:?}")]
    Type { found: String, expected: &'static str },
    /// The major version of `spec_version` is not supported.
    #[error("unsupported spec_version {0:?}, expected 1.x or 1.x.y")]
    SpecVersion(String),
    /// `expires` is not in the form of section 4.2.1.
    #[error("expires {0:?} is not a UTC time of the form YYYY-MM-DDTHH:MM:SSZ")]
    Expires(String),
}

/// A time in seconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnixSeconds(pub i64);

impl fmt::Display for UnixSeconds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match jiff::Timestamp::from_second(self.0) {
            Ok(time) => write!(f, "{time}"),
            Err(_) => write!(f, "{} s", self.0),
        }
    }
}

/// Version of a metadata file; it grows with each new file of a role and is at least 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64);

/// Key ID: SHA-256 of the canonical form of a key, in lower-case hex (section 4.2).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId(pub String);

/// Name of a role; for a targets role also the first part of its file name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoleName(pub String);

impl RoleName {
    /// Whether the name is safe in a file name: it can't lead out of the metadata folder.
    fn is_valid(&self) -> bool {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        (1..=MAX_ROLE_NAME_BYTES).contains(&self.0.len())
            && self.0.chars().all(allowed)
            && !self.0.starts_with('.')
    }
}

/// A signature over the canonical form of a file's signed part; `sig` is hex (section 4.2).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The key that signed.
    pub keyid: KeyId,
    /// The signature in hex.
    pub sig: String,
}

/// The public part of a key: hex for Ed25519, PEM for ECDSA and RSA (section 4.2).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The public key: 32 bytes in hex for Ed25519, otherwise PEM.
    pub public: String,
}

/// A public key as listed in a file (section 4.2). Unknown fields are kept in `other`, since the key ID
/// covers them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// `ed25519`, `ecdsa` (or its alias `ecdsa-sha2-nistp256`) or `rsa`; other types can be listed but don't
    /// verify.
    pub keytype: String,
    /// The signature scheme, such as `ecdsa-sha2-nistp256`.
    pub scheme: String,
    /// The public part of the key.
    pub keyval: KeyValue,
    /// Fields that this implementation does not know.
    #[serde(flatten)]
    pub other: BTreeMap<String, Value>,
}

/// The keys of a role and how many of them must sign its files (section 4.3).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleKeys {
    /// The IDs of the keys that may sign for the role.
    pub keyids: Vec<KeyId>,
    /// Number of distinct keys that must sign, at least 1.
    pub threshold: u32,
}

/// The signed part of a root file (section 4.3).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Whether file names contain versions and hashes (section 6.2).
    pub consistent_snapshot: bool,
    /// All keys that the top-level roles use.
    pub keys: BTreeMap<KeyId, Key>,
    /// Keys and threshold of each top-level role.
    pub roles: BTreeMap<String, RoleKeys>,
}

/// Version, length in bytes and hashes of a metadata file, as listed in a timestamp or snapshot file
/// (sections 4.4 and 4.6).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileDescription {
    /// The version that the file must have.
    pub version: Version,
    /// Length in bytes; files without it are limited by the client's own limits only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub length: Option<u64>,
    /// Hashes in hex, by algorithm name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hashes: BTreeMap<String, String>,
}

/// The signed part of a timestamp file: it lists the current snapshot (section 4.6).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// One entry, `snapshot.json`.
    pub meta: BTreeMap<String, FileDescription>,
}

/// The signed part of a snapshot file: it lists the targets files of all roles (section 4.4).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// File name without version (`ROLE.json`) and description of each targets file.
    pub meta: BTreeMap<String, FileDescription>,
}

/// Description of a target: its length in bytes, its hashes in lower-case hex by algorithm name, and custom
/// data of the application (section 4.5).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Length in bytes.
    pub length: u64,
    /// Hashes in lower-case hex, by algorithm name.
    pub hashes: BTreeMap<String, String>,
    /// Data of the application, not interpreted here.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub custom: Option<Value>,
}

/// A delegation of the paths that match `paths` or `path_hash_prefixes` to a role (section 4.5).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The role that may list the paths.
    pub name: RoleName,
    /// The IDs of the keys that may sign for the role.
    pub keyids: Vec<KeyId>,
    /// Number of distinct keys that must sign, at least 1.
    pub threshold: u32,
    /// Whether a search for a matching path ignores all delegations after this one.
    pub terminating: bool,
    /// Path patterns; excludes `path_hash_prefixes`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub paths: Option<Vec<String>>,
    /// Prefixes, in hex, of the SHA-256 of paths.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path_hash_prefixes: Option<Vec<String>>,
}

/// Delegation to hashed bins in short form (TAP 15): `2^bit_length` roles, named by prefix and number, that
/// share keys and threshold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccinctRoles {
    /// The IDs of the keys that may sign for every bin.
    pub keyids: Vec<KeyId>,
    /// Number of distinct keys that must sign, at least 1.
    pub threshold: u32,
    /// Binary logarithm of the number of bins, 1 to 32.
    pub bit_length: u32,
    /// Role names are this prefix, a hyphen and the bin's number in hex.
    pub name_prefix: String,
}

/// The delegations of a targets file, in order of priority, and the keys they refer to (section 4.5).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegations {
    /// All keys that the delegated roles use.
    pub keys: BTreeMap<KeyId, Key>,
    /// The delegated roles, highest priority first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub roles: Vec<Delegation>,
    /// Hashed bins in short form; excludes `roles`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub succinct_roles: Option<SuccinctRoles>,
}

/// The signed part of a targets file of any role (section 4.5).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    /// The targets by path.
    pub targets: BTreeMap<String, Target>,
    /// The roles that this role delegates to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delegations: Option<Delegations>,
}

/// The signed part of one type of metadata file.
pub trait MetadataType: Serialize + for<'a> Deserialize<'a> + Clone {
    /// Value of the `_type` field.
    const TYPE: &'static str;
    /// Checks what the types of the fields don't express. The error names the field and what is wrong with
    /// it.
    fn validate(&self) -> Result<(), String>;
}

fn validate_threshold(role: &str, keyids: &[KeyId], threshold: u32) -> Result<(), String> {
    let distinct: BTreeSet<_> = keyids.iter().collect();
    if distinct.len() != keyids.len() {
        return Err(format!("{role}: duplicate key ID"));
    }
    if threshold == 0 || keyids.len() > MAX_KEYS_PER_FILE {
        return Err(format!(
            "{role}: threshold {threshold} of {} keys, expected at least 1 of at most {MAX_KEYS_PER_FILE}",
            keyids.len()
        ));
    }
    Ok(())
}

impl MetadataType for Root {
    const TYPE: &'static str = ROOT;
    fn validate(&self) -> Result<(), String> {
        for role in [ROOT, TIMESTAMP, SNAPSHOT, TARGETS] {
            let keys = self.roles.get(role).ok_or_else(|| format!("roles: {role} is missing"))?;
            validate_threshold(role, &keys.keyids, keys.threshold)?;
        }
        if self.keys.len() > MAX_KEYS_PER_FILE {
            return Err(format!("keys: {} listed, at most {MAX_KEYS_PER_FILE} are allowed", self.keys.len()));
        }
        Ok(())
    }
}

impl MetadataType for Timestamp {
    const TYPE: &'static str = TIMESTAMP;
    fn validate(&self) -> Result<(), String> {
        if self.meta.len() != 1 || !self.meta.contains_key("snapshot.json") {
            return Err("meta: expected snapshot.json and no other file".into());
        }
        Ok(())
    }
}

impl MetadataType for Snapshot {
    const TYPE: &'static str = SNAPSHOT;
    fn validate(&self) -> Result<(), String> {
        match self.meta.contains_key("targets.json") {
            true => Ok(()),
            false => Err("meta: targets.json is missing".into()),
        }
    }
}

impl MetadataType for Targets {
    const TYPE: &'static str = TARGETS;
    fn validate(&self) -> Result<(), String> {
        let has_known_hash = |t: &Target| t.hashes.contains_key("sha256") || t.hashes.contains_key("sha512");
        if let Some((path, _)) = self.targets.iter().find(|(_, target)| !has_known_hash(target)) {
            return Err(format!("targets: {path}: neither a sha256 nor a sha512 hash"));
        }
        let Some(delegations) = &self.delegations else { return Ok(()) };
        if delegations.keys.len() > MAX_KEYS_PER_FILE {
            return Err(format!(
                "delegations: {} keys listed, at most {MAX_KEYS_PER_FILE} are allowed",
                delegations.keys.len()
            ));
        }
        let mut names = BTreeSet::new();
        for role in &delegations.roles {
            let name = &role.name;
            let reserved = [ROOT, TIMESTAMP, SNAPSHOT, TARGETS].contains(&name.0.as_str());
            if !name.is_valid() || reserved || !names.insert(name) {
                return Err(format!("delegations: invalid, reserved or duplicate role name {:?}", name.0));
            }
            validate_threshold(&name.0, &role.keyids, role.threshold)?;
            if role.paths.is_some() == role.path_hash_prefixes.is_some() {
                return Err(format!("delegations: {}: expected either paths or path_hash_prefixes", name.0));
            }
        }
        if let Some(bins) = &delegations.succinct_roles {
            validate_threshold("succinct_roles", &bins.keyids, bins.threshold)?;
            let first_bin = RoleName(format!("{}-0", bins.name_prefix));
            if !delegations.roles.is_empty() || !(1..=32).contains(&bins.bit_length) || !first_bin.is_valid()
            {
                return Err("delegations: succinct_roles must have a bit_length of 1 to 32 and a valid \
                            name_prefix, and exclude roles"
                    .into());
            }
        }
        Ok(())
    }
}

/// A parsed metadata file: its signed part, the fields common to all types and its signatures (section 4.2).
/// The signatures have not been verified.
#[derive(Clone, Debug, PartialEq)]
pub struct SignedMetadata<T> {
    /// The fields of the signed part that depend on the type.
    pub signed: T,
    /// The version of the file; it grows with each publication.
    pub version: Version,
    /// The file is valid before this time, not at it.
    pub expires: UnixSeconds,
    /// The signatures as listed, not verified.
    pub signatures: Vec<Signature>,
    /// The canonical form of the signed part: the bytes that the signatures cover. It includes unknown
    /// fields.
    pub canonical: Vec<u8>,
}

/// Deserializes JSON without duplicate names and fractions. Parsers disagree on which of two values of the
/// same name counts, so another program could read something else in the same signed file.
struct StrictJson;

impl<'de> DeserializeSeed<'de> for StrictJson {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictJson {
    type Value = Value;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("JSON without fractional numbers")
    }
    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }
    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(Value::from(v))
    }
    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        Ok(Value::from(v))
    }
    fn visit_f64<E: serde::de::Error>(self, v: f64) -> Result<Value, E> {
        Err(E::custom(format!("{v} is not an integer")))
    }
    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(Value::String(v.to_string()))
    }
    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = seq.next_element_seed(StrictJson)? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let value = map.next_value_seed(StrictJson)?;
            if values.insert(name.clone(), value).is_some() {
                return Err(A::Error::custom(format!("duplicate name {name:?}")));
            }
        }
        Ok(Value::Object(values))
    }
}

/// Canonical JSON of a value (OLPC form, section 4.1): the bytes that signatures and key IDs cover.
///
/// # Errors
/// [`FormatError::Json`] for a value that has no canonical form.
pub fn canonical_json(value: &impl Serialize) -> Result<Vec<u8>, FormatError> {
    let mut bytes = Vec::new();
    let mut serializer = serde_json::Serializer::with_formatter(&mut bytes, CanonicalFormatter::new());
    value.serialize(&mut serializer).map_err(|error| FormatError::Json(error.to_string()))?;
    Ok(bytes)
}

/// Parses a time of the form `YYYY-MM-DDTHH:MM:SSZ`, always in UTC (section 4.2.1).
fn parse_time(text: &str) -> Result<UnixSeconds, FormatError> {
    let has_expected_form = text.len() == 20 && text.ends_with('Z');
    let time = text.parse::<jiff::Timestamp>().ok().filter(|_| has_expected_form);
    time.map(|t| UnixSeconds(t.as_second())).ok_or_else(|| FormatError::Expires(text.to_string()))
}

#[derive(Deserialize)]
struct Envelope {
    signatures: Vec<Signature>,
    signed: Value,
}

impl<T: MetadataType> SignedMetadata<T> {
    /// Parses a file. The caller limits its length.
    ///
    /// # Errors
    /// [`FormatError`] if the bytes are not valid metadata of the type `T`.
    pub fn parse(bytes: &[u8]) -> Result<SignedMetadata<T>, FormatError> {
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        let value = StrictJson.deserialize(&mut reader).map_err(|e| FormatError::Json(e.to_string()))?;
        reader.end().map_err(|e| FormatError::Json(e.to_string()))?;
        let envelope: Envelope =
            serde_json::from_value(value).map_err(|error| FormatError::Field(error.to_string()))?;
        if envelope.signatures.len() > MAX_KEYS_PER_FILE {
            return Err(FormatError::Field(format!(
                "signatures: {} listed, at most {MAX_KEYS_PER_FILE} are allowed",
                envelope.signatures.len()
            )));
        }
        let canonical = canonical_json(&envelope.signed)?;
        let text = |name: &str| {
            let found = envelope.signed.get(name).and_then(Value::as_str);
            found.ok_or_else(|| FormatError::Field(format!("{name}: missing or not a string")))
        };
        let found = text("_type")?;
        if found != T::TYPE {
            return Err(FormatError::Type { found: found.to_string(), expected: T::TYPE });
        }
        let spec = text("spec_version")?;
        let parts: Vec<&str> = spec.split('.').collect();
        let all_numbers = parts.iter().all(|p| !p.is_empty() && p.bytes().all(|b| b.is_ascii_digit()));
        if parts.first() != Some(&"1") || !(2..=3).contains(&parts.len()) || !all_numbers {
            return Err(FormatError::SpecVersion(spec.to_string()));
        }
        let expires = parse_time(text("expires")?)?;
        let version = envelope.signed.get("version").and_then(Value::as_u64).filter(|v| *v > 0);
        let version =
            version.ok_or_else(|| FormatError::Field("version: missing or not an integer above 0".into()))?;
        let signed: T =
            serde_json::from_value(envelope.signed).map_err(|error| FormatError::Field(error.to_string()))?;
        signed.validate().map_err(FormatError::Field)?;
        Ok(SignedMetadata {
            signed,
            version: Version(version),
            expires,
            signatures: envelope.signatures,
            canonical,
        })
    }
}

/// The signed part of a new file with the common fields added, as [`SignedMetadata::parse`] expects it.
///
/// # Errors
/// [`FormatError::Json`] if the content can't be serialized.
pub fn signed_portion<T: MetadataType>(
    content: &T, version: Version, expires: UnixSeconds,
) -> Result<Value, FormatError> {
    let mut value = serde_json::to_value(content).map_err(|error| FormatError::Json(error.to_string()))?;
    let map = value.as_object_mut().expect("each metadata type is a JSON object");
    map.insert("_type".into(), T::TYPE.into());
    map.insert("spec_version".into(), SPEC_VERSION.into());
    map.insert("version".into(), version.0.into());
    map.insert("expires".into(), expires.to_string().into());
    Ok(value)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const TIMESTAMP_FILE: &str = r#"{"signatures":[],"signed":{"_type":"timestamp","expires":"2026-12-01T20:00:00Z","meta":{"snapshot.json":{"version":3}},"spec_version":"1.0.0","version":7}}"#;

    #[rstest]
    fn parsing_keeps_unknown_fields_in_the_signed_bytes() {
        let file = SignedMetadata::<Timestamp>::parse(TIMESTAMP_FILE.as_bytes()).unwrap();
        assert_eq!((file.version, file.signed.meta["snapshot.json"].version), (Version(7), Version(3)));
        let extended = TIMESTAMP_FILE.replace(r#""version":7"#, r#""version":7,"x-more":{"b":1,"a":2}"#);
        let file = SignedMetadata::<Timestamp>::parse(extended.as_bytes()).unwrap();
        assert!(String::from_utf8(file.canonical).unwrap().contains(r#""x-more":{"a":2,"b":1}"#));
    }

    #[rstest]
    #[case::duplicate_name(r#""version":7"#, r#""version":7,"version":8"#)]
    #[case::fraction(r#""version":7"#, r#""version":7.5"#)]
    #[case::below_one(r#""version":7"#, r#""version":0"#)]
    #[case::negative(r#""version":7"#, r#""version":-7"#)]
    #[case::other_type("timestamp", "snapshot")]
    #[case::other_spec("1.0.0", "2.0.0")]
    #[case::malformed_spec("1.0.0", "1.x")]
    #[case::invalid_time("2026-12-01T20:00:00Z", "soon")]
    #[case::local_time("2026-12-01T20:00:00Z", "2026-12-01T20:00:00+01:00")]
    #[case::unexpected_file("snapshot.json", "other.json")]
    #[case::trailing_data(r#""version":7}}"#, r#""version":7}}{}"#)]
    fn ambiguous_or_invalid_files_are_rejected(#[case] from: &str, #[case] to: &str) {
        assert!(SignedMetadata::<Timestamp>::parse(TIMESTAMP_FILE.replace(from, to).as_bytes()).is_err());
    }

    #[rstest]
    fn nesting_depth_is_limited() {
        let deep = "[".repeat(100_000);
        assert!(SignedMetadata::<Root>::parse(deep.as_bytes()).is_err());
    }
}
