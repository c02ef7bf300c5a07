//! The repository side of TUF: roles and keys, targets, key rotation, and new file versions signed by a
//! threshold of keys (specification, section 6). It produces the bytes of the files and leaves writing them
//! to the caller. The files of a release are to be written in the order returned, the timestamp last, so that
//! no client sees half a release.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::{SigningError, SigningKey};
use crate::metadata::*;

/// Why a repository can't be created, changed or published.
#[derive(Debug, thiserror::Error)]
pub enum RepositoryError {
    /// Fewer keys of the role were passed than its threshold requires.
    #[error("{role}: {have} keys available, threshold is {threshold}")]
    NotEnoughKeys { role: String, have: usize, threshold: u32 },
    /// The content is not valid metadata, or has no canonical form.
    #[error("{0}")]
    Format(#[from] FormatError),
    /// A key failed to sign.
    #[error("{0}")]
    Signing(#[from] SigningError),
    /// The root does not list this top-level role.
    #[error("unknown role {0:?}")]
    UnknownRole(String),
}

/// How long the files of each role are valid after signing, in seconds. Delegated roles use `targets`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ExpiryPeriods {
    /// Validity of root files.
    pub root: i64,
    /// Validity of targets files of all roles.
    pub targets: i64,
    /// Validity of snapshot files.
    pub snapshot: i64,
    /// Validity of timestamp files.
    pub timestamp: i64,
}

impl Default for ExpiryPeriods {
    fn default() -> ExpiryPeriods {
        const DAY_SECONDS: i64 = 86_400;
        ExpiryPeriods {
            root: 365 * DAY_SECONDS,
            targets: 90 * DAY_SECONDS,
            snapshot: 7 * DAY_SECONDS,
            timestamp: DAY_SECONDS,
        }
    }
}

/// A signed file to write at `path` in the metadata folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataFile {
    /// Path relative to the metadata folder.
    pub path: String,
    /// The signed file as it is to be written.
    pub bytes: Vec<u8>,
}

/// The content of a repository before it is signed. It is stored as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Repository {
    /// Keys and thresholds of the top-level roles, as they will be in the next root file.
    pub root: Root,
    /// The top-level targets and their delegations.
    pub targets: Targets,
    /// Targets of the delegated roles by role name.
    pub delegated: BTreeMap<String, Targets>,
    /// The latest version signed for each role.
    pub versions: BTreeMap<String, Version>,
    /// How long new files are valid.
    #[serde(rename = "terms")]
    pub expiry_periods: ExpiryPeriods,
}

/// The public parts of these keys by key ID, and the key IDs in the order given.
fn public_keys(signing_keys: &[&SigningKey]) -> (BTreeMap<KeyId, Key>, Vec<KeyId>) {
    let keys = signing_keys.iter().map(|key| (key.id().clone(), key.public_key().clone())).collect();
    (keys, signing_keys.iter().map(|key| key.id().clone()).collect())
}

/// Signs the signed part of a file with each key and returns the whole file in canonical form.
///
/// # Errors
/// [`RepositoryError::Format`] or [`RepositoryError::Signing`].
pub fn sign_metadata(
    signed: &serde_json::Value, signers: &[&SigningKey],
) -> Result<Vec<u8>, RepositoryError> {
    let bytes = canonical_json(signed)?;
    let signatures = signers.iter().map(|key| key.sign(&bytes)).collect::<Result<Vec<_>, _>>()?;
    let file = serde_json::json!({ "signatures": signatures, "signed": signed });
    Ok(canonical_json(&file)?)
}

impl Repository {
    /// Creates a repository with consistent snapshots. `roles` gives the keys and the threshold of each
    /// top-level role.
    ///
    /// # Errors
    /// [`RepositoryError::UnknownRole`] if a top-level role is missing, [`RepositoryError::Format`] if a
    /// role's keys or threshold are invalid.
    pub fn new(
        roles: &BTreeMap<String, (Vec<&SigningKey>, u32)>, expiry_periods: ExpiryPeriods,
    ) -> Result<Repository, RepositoryError> {
        let mut root = Root { consistent_snapshot: true, keys: BTreeMap::new(), roles: BTreeMap::new() };
        for role in [ROOT, TIMESTAMP, SNAPSHOT, TARGETS] {
            let (signing_keys, threshold) =
                roles.get(role).ok_or_else(|| RepositoryError::UnknownRole(role.into()))?;
            let (keys, keyids) = public_keys(signing_keys);
            root.keys.extend(keys);
            root.roles.insert(role.into(), RoleKeys { keyids, threshold: *threshold });
        }
        root.validate().map_err(|reason| RepositoryError::Format(FormatError::Field(reason)))?;
        Ok(Repository {
            root,
            targets: Targets::default(),
            delegated: BTreeMap::new(),
            versions: BTreeMap::new(),
            expiry_periods,
        })
    }

    /// Replaces the keys and the threshold of a top-level role; this takes effect with the next root. Keys
    /// that no role uses any more are removed.
    ///
    /// # Errors
    /// [`RepositoryError::UnknownRole`].
    pub fn rotate_keys(
        &mut self, role: &str, signing_keys: &[&SigningKey], threshold: u32,
    ) -> Result<(), RepositoryError> {
        let (keys, keyids) = public_keys(signing_keys);
        let role_keys =
            self.root.roles.get_mut(role).ok_or_else(|| RepositoryError::UnknownRole(role.into()))?;
        *role_keys = RoleKeys { keyids, threshold };
        self.root.keys.extend(keys);
        let used = |id: &KeyId| self.root.roles.values().any(|r| r.keyids.contains(id));
        let unused: Vec<KeyId> = self.root.keys.keys().filter(|id| !used(id)).cloned().collect();
        unused.iter().for_each(|id| drop(self.root.keys.remove(id)));
        Ok(())
    }

    /// Delegates paths to a role with these keys and targets. An earlier delegation to the same role is
    /// replaced.
    pub fn add_delegation(&mut self, delegation: Delegation, keys: &[&SigningKey], targets: Targets) {
        let delegations = self.targets.delegations.get_or_insert_with(Delegations::default);
        delegations.keys.extend(public_keys(keys).0);
        self.delegated.insert(delegation.name.0.clone(), targets);
        delegations.roles.retain(|r| r.name != delegation.name);
        delegations.roles.push(delegation);
    }

    fn next_version(&mut self, role: &str) -> Version {
        let version = self.versions.entry(role.into()).or_default();
        version.0 += 1;
        *version
    }

    /// Signs the next version of the root (section 6.1). `signers` has to hold a threshold of the new root's
    /// keys; clients require a threshold of the previous root's keys as well, which is not checked here.
    ///
    /// # Errors
    /// [`RepositoryError::NotEnoughKeys`], or a failure to sign.
    pub fn publish_root(
        &mut self, signers: &[&SigningKey], now: UnixSeconds,
    ) -> Result<MetadataFile, RepositoryError> {
        let keys = self.root.roles[ROOT].clone();
        let have = signers.iter().filter(|s| keys.keyids.contains(s.id())).count();
        if have < keys.threshold as usize {
            return Err(RepositoryError::NotEnoughKeys {
                role: ROOT.into(),
                have,
                threshold: keys.threshold,
            });
        }
        let version = self.next_version(ROOT);
        let bytes = sign_metadata(
            &signed_portion(&self.root, version, UnixSeconds(now.0 + self.expiry_periods.root))?,
            signers,
        )?;
        Ok(MetadataFile { path: format!("{}.root.json", version.0), bytes })
    }

    /// The keys of a role among those passed; an error if they are fewer than the threshold.
    fn signers<'a>(
        &self, role: &str, keys: &RoleKeys, signing_keys: &[&'a SigningKey],
    ) -> Result<Vec<&'a SigningKey>, RepositoryError> {
        let signers: Vec<&SigningKey> =
            signing_keys.iter().copied().filter(|s| keys.keyids.contains(s.id())).collect();
        if signers.len() < keys.threshold as usize {
            return Err(RepositoryError::NotEnoughKeys {
                role: role.into(),
                have: signers.len(),
                threshold: keys.threshold,
            });
        }
        Ok(signers)
    }

    /// Signs a release and returns its files in the order in which to write them: targets, delegated roles,
    /// snapshot, timestamp. An error leaves the repository unchanged.
    ///
    /// # Errors
    /// [`RepositoryError::NotEnoughKeys`], or a failure to sign.
    pub fn publish(
        &mut self, signing_keys: &[&SigningKey], now: UnixSeconds,
    ) -> Result<Vec<MetadataFile>, RepositoryError> {
        let mut updated = self.clone();
        let files = updated.sign_release(signing_keys, now)?;
        *self = updated;
        Ok(files)
    }

    fn sign_release(
        &mut self, signing_keys: &[&SigningKey], now: UnixSeconds,
    ) -> Result<Vec<MetadataFile>, RepositoryError> {
        let mut release = Vec::new();
        let mut meta = BTreeMap::new();
        let expires = UnixSeconds(now.0 + self.expiry_periods.targets);
        let delegations = self.targets.delegations.clone().unwrap_or_default();
        let mut files = vec![(TARGETS.to_string(), self.root.roles[TARGETS].clone(), self.targets.clone())];
        for role in &delegations.roles {
            let keys = RoleKeys { keyids: role.keyids.clone(), threshold: role.threshold };
            let targets = self.delegated.get(&role.name.0).cloned().unwrap_or_default();
            files.push((role.name.0.clone(), keys, targets));
        }
        for (role, keys, targets) in files {
            let signers = self.signers(&role, &keys, signing_keys)?;
            let version = self.next_version(&role);
            let bytes = sign_metadata(&signed_portion(&targets, version, expires)?, &signers)?;
            meta.insert(format!("{role}.json"), describe_file(version, &bytes));
            release.push(MetadataFile { path: format!("{}.{role}.json", version.0), bytes });
        }
        let signers = self.signers(SNAPSHOT, &self.root.roles[SNAPSHOT].clone(), signing_keys)?;
        let version = self.next_version(SNAPSHOT);
        let snapshot =
            signed_portion(&Snapshot { meta }, version, UnixSeconds(now.0 + self.expiry_periods.snapshot))?;
        let bytes = sign_metadata(&snapshot, &signers)?;
        let described_snapshot = describe_file(version, &bytes);
        release.push(MetadataFile { path: format!("{}.snapshot.json", version.0), bytes });
        release.push(self.sign_timestamp(described_snapshot, signing_keys, now)?);
        Ok(release)
    }

    fn sign_timestamp(
        &mut self, snapshot: FileDescription, signing_keys: &[&SigningKey], now: UnixSeconds,
    ) -> Result<MetadataFile, RepositoryError> {
        let signers = self.signers(TIMESTAMP, &self.root.roles[TIMESTAMP].clone(), signing_keys)?;
        let version = self.next_version(TIMESTAMP);
        let meta = [("snapshot.json".to_string(), snapshot)].into();
        let timestamp =
            signed_portion(&Timestamp { meta }, version, UnixSeconds(now.0 + self.expiry_periods.timestamp))?;
        Ok(MetadataFile { path: "timestamp.json".into(), bytes: sign_metadata(&timestamp, &signers)? })
    }
}

/// The entry of a signed file in a snapshot or timestamp: version, length and SHA-256.
fn describe_file(version: Version, bytes: &[u8]) -> FileDescription {
    let described = crate::target::describe_target(bytes);
    let hashes = described.hashes.into_iter().filter(|(name, _)| name == "sha256").collect();
    FileDescription { version, length: Some(described.length), hashes }
}
