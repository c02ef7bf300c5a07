//! A repository: roles and keys, targets, new versions signed by a threshold, keys that change. It makes bytes
//! and their order; who writes them is the caller's matter. A release is written in the order given, its
//! timestamp last, so that no reader sees half of one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::{SigningError, SigningKey};
use crate::metadata::*;

#[derive(Debug, thiserror::Error)]
pub enum RepositoryError {
    #[error("{role}: {have} keys at hand, {threshold} are needed")]
    NotEnoughKeys { role: String, have: usize, threshold: u32 },
    #[error("{0}")]
    Format(#[from] FormatError),
    #[error("{0}")]
    Signing(#[from] SigningError),
    #[error("no role {0:?}")]
    UnknownRole(String),
}

/// For how many seconds each role's files count.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ExpiryPeriods {
    pub root: i64,
    pub targets: i64,
    pub snapshot: i64,
    pub timestamp: i64,
}

impl Default for ExpiryPeriods {
    fn default() -> ExpiryPeriods {
        let day = 86_400;
        ExpiryPeriods { root: 365 * day, targets: 90 * day, snapshot: 7 * day, timestamp: day }
    }
}

/// A file to be written, by its name in the folder of metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataFile {
    pub path: String,
    pub bytes: Vec<u8>,
}

/// What a repository is before it is signed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Repository {
    pub root: Root,
    pub targets: Targets,
    /// Delegated roles by name.
    pub delegated: BTreeMap<String, Targets>,
    pub versions: BTreeMap<String, Version>,
    #[serde(rename = "terms")]
    pub expiry_periods: ExpiryPeriods,
}

fn keys_of(secrets: &[&SigningKey]) -> (BTreeMap<KeyId, Key>, Vec<KeyId>) {
    let keys = secrets.iter().map(|s| (s.id().clone(), s.public_key().clone())).collect();
    (keys, secrets.iter().map(|s| s.id().clone()).collect())
}

/// Signs the signed part of a file by each of these.
pub fn sign_metadata(signed: &serde_json::Value, by: &[&SigningKey]) -> Result<Vec<u8>, RepositoryError> {
    let bytes = canonical_json(signed)?;
    let signatures = by.iter().map(|secret| secret.sign(&bytes)).collect::<Result<Vec<_>, _>>()?;
    let file = serde_json::json!({ "signatures": signatures, "signed": signed });
    Ok(canonical_json(&file)?)
}

impl Repository {
    /// A new one: for each top-level role its keys and how many of them must sign.
    pub fn new(
        roles: &BTreeMap<String, (Vec<&SigningKey>, u32)>, expiry_periods: ExpiryPeriods,
    ) -> Result<Repository, RepositoryError> {
        let mut root = Root { consistent_snapshot: true, keys: BTreeMap::new(), roles: BTreeMap::new() };
        for role in [ROOT, TIMESTAMP, SNAPSHOT, TARGETS] {
            let (secrets, threshold) =
                roles.get(role).ok_or_else(|| RepositoryError::UnknownRole(role.into()))?;
            let (keys, keyids) = keys_of(secrets);
            root.keys.extend(keys);
            root.roles.insert(role.into(), RoleKeys { keyids, threshold: *threshold });
        }
        root.validate().map_err(|why| RepositoryError::Format(FormatError::Field(why)))?;
        let (targets, delegated, versions) = Default::default();
        Ok(Repository { root, targets, delegated, versions, expiry_periods })
    }

    /// Another set of keys for a role, from the next root on.
    pub fn rotate_keys(
        &mut self, role: &str, secrets: &[&SigningKey], threshold: u32,
    ) -> Result<(), RepositoryError> {
        let (keys, keyids) = keys_of(secrets);
        let had = self.root.roles.get_mut(role).ok_or_else(|| RepositoryError::UnknownRole(role.into()))?;
        *had = RoleKeys { keyids, threshold };
        self.root.keys.extend(keys);
        let used = |id: &KeyId| self.root.roles.values().any(|r| r.keyids.contains(id));
        let unused: Vec<KeyId> = self.root.keys.keys().filter(|id| !used(id)).cloned().collect();
        unused.iter().for_each(|id| drop(self.root.keys.remove(id)));
        Ok(())
    }

    /// Lets another role speak for some paths.
    pub fn add_delegation(&mut self, role: Delegation, keys: &[&SigningKey], targets: Targets) {
        let delegations = self.targets.delegations.get_or_insert_with(Delegations::default);
        delegations.keys.extend(keys_of(keys).0);
        self.delegated.insert(role.name.0.clone(), targets);
        delegations.roles.retain(|r| r.name != role.name);
        delegations.roles.push(role);
    }

    fn next(&mut self, role: &str) -> Version {
        let version = self.versions.entry(role.into()).or_default();
        version.0 += 1;
        *version
    }

    /// A new root, signed by the keys that the one before names and by those that it names itself.
    pub fn publish_root(
        &mut self, by: &[&SigningKey], now: UnixSeconds,
    ) -> Result<MetadataFile, RepositoryError> {
        let keys = self.root.roles[ROOT].clone();
        let have = by.iter().filter(|s| keys.keyids.contains(s.id())).count();
        if have < keys.threshold as usize {
            return Err(RepositoryError::NotEnoughKeys {
                role: ROOT.into(),
                have,
                threshold: keys.threshold,
            });
        }
        let version = self.next(ROOT);
        let bytes = sign_metadata(
            &signed_portion(&self.root, version, UnixSeconds(now.0 + self.expiry_periods.root))?,
            by,
        )?;
        Ok(MetadataFile { path: format!("{}.root.json", version.0), bytes })
    }

    fn by<'a>(
        &self, role: &str, keys: &RoleKeys, secrets: &[&'a SigningKey],
    ) -> Result<Vec<&'a SigningKey>, RepositoryError> {
        let by: Vec<&SigningKey> = secrets.iter().copied().filter(|s| keys.keyids.contains(s.id())).collect();
        if by.len() < keys.threshold as usize {
            return Err(RepositoryError::NotEnoughKeys {
                role: role.into(),
                have: by.len(),
                threshold: keys.threshold,
            });
        }
        Ok(by)
    }

    /// A whole release: targets, delegated roles, snapshot, timestamp, to be written in this order. Nothing is
    /// changed if a key is missing.
    pub fn publish(
        &mut self, secrets: &[&SigningKey], now: UnixSeconds,
    ) -> Result<Vec<MetadataFile>, RepositoryError> {
        let mut next = self.clone();
        let written = next.release(secrets, now)?;
        *self = next;
        Ok(written)
    }

    fn release(
        &mut self, secrets: &[&SigningKey], now: UnixSeconds,
    ) -> Result<Vec<MetadataFile>, RepositoryError> {
        let mut written = Vec::new();
        let mut meta = BTreeMap::new();
        let ends = UnixSeconds(now.0 + self.expiry_periods.targets);
        let delegations = self.targets.delegations.clone().unwrap_or_default();
        let mut files = vec![(TARGETS.to_string(), self.root.roles[TARGETS].clone(), self.targets.clone())];
        for role in &delegations.roles {
            let keys = RoleKeys { keyids: role.keyids.clone(), threshold: role.threshold };
            let targets = self.delegated.get(&role.name.0).cloned().unwrap_or_default();
            files.push((role.name.0.clone(), keys, targets));
        }
        for (role, keys, targets) in files {
            let by = self.by(&role, &keys, secrets)?;
            let version = self.next(&role);
            let bytes = sign_metadata(&signed_portion(&targets, version, ends)?, &by)?;
            meta.insert(format!("{role}.json"), seen(version, &bytes));
            written.push(MetadataFile { path: format!("{}.{role}.json", version.0), bytes });
        }
        let by = self.by(SNAPSHOT, &self.root.roles[SNAPSHOT].clone(), secrets)?;
        let version = self.next(SNAPSHOT);
        let snapshot =
            signed_portion(&Snapshot { meta }, version, UnixSeconds(now.0 + self.expiry_periods.snapshot))?;
        let bytes = sign_metadata(&snapshot, &by)?;
        let announced = seen(version, &bytes);
        written.push(MetadataFile { path: format!("{}.snapshot.json", version.0), bytes });
        written.push(self.timestamp(announced, secrets, now)?);
        Ok(written)
    }

    fn timestamp(
        &mut self, snapshot: FileDescription, secrets: &[&SigningKey], now: UnixSeconds,
    ) -> Result<MetadataFile, RepositoryError> {
        let by = self.by(TIMESTAMP, &self.root.roles[TIMESTAMP].clone(), secrets)?;
        let version = self.next(TIMESTAMP);
        let meta = [("snapshot.json".to_string(), snapshot)].into();
        let timestamp =
            signed_portion(&Timestamp { meta }, version, UnixSeconds(now.0 + self.expiry_periods.timestamp))?;
        Ok(MetadataFile { path: "timestamp.json".into(), bytes: sign_metadata(&timestamp, &by)? })
    }
}

fn seen(version: Version, bytes: &[u8]) -> FileDescription {
    let described = crate::target::describe_target(bytes);
    let hashes = described.hashes.into_iter().filter(|(name, _)| name == "sha256").collect();
    FileDescription { version, length: Some(described.length), hashes }
}
