//! A repository: roles and keys, targets, new versions signed by a threshold, keys that change. It makes bytes
//! and their order; who writes them is the caller's matter. A release is written in the order given, its
//! timestamp last, so that no reader sees half of one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::form::*;
use crate::keys::{Secret, SecretFault};

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{role}: {have} keys at hand, {threshold} are needed")]
    Threshold { role: String, have: usize, threshold: u32 },
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    #[error("{0}")]
    Secret(#[from] SecretFault),
    #[error("no role {0:?}")]
    NoRole(String),
}

/// For how many seconds each role's files count.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Terms {
    pub root: i64,
    pub targets: i64,
    pub snapshot: i64,
    pub timestamp: i64,
}

impl Default for Terms {
    fn default() -> Terms {
        let day = 86_400;
        Terms { root: 365 * day, targets: 90 * day, snapshot: 7 * day, timestamp: day }
    }
}

/// A file to be written, by its name in the folder of metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
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
    pub terms: Terms,
}

fn keys_of(secrets: &[&Secret]) -> (BTreeMap<KeyId, Key>, Vec<KeyId>) {
    let keys = secrets.iter().map(|s| (s.id().clone(), s.public().clone())).collect();
    (keys, secrets.iter().map(|s| s.id().clone()).collect())
}

/// Signs the signed part of a file by each of these.
pub fn sign(signed: &serde_json::Value, by: &[&Secret]) -> Result<Vec<u8>, Fault> {
    let bytes = canonical(signed)?;
    let signatures = by.iter().map(|secret| secret.sign(&bytes)).collect::<Result<Vec<_>, _>>()?;
    let file = serde_json::json!({ "signatures": signatures, "signed": signed });
    Ok(canonical(&file)?)
}

impl Repository {
    /// A new one: for each top-level role its keys and how many of them must sign.
    pub fn new(roles: &BTreeMap<String, (Vec<&Secret>, u32)>, terms: Terms) -> Result<Repository, Fault> {
        let mut root = Root { consistent_snapshot: true, keys: BTreeMap::new(), roles: BTreeMap::new() };
        for role in [ROOT, TIMESTAMP, SNAPSHOT, TARGETS] {
            let (secrets, threshold) = roles.get(role).ok_or_else(|| Fault::NoRole(role.into()))?;
            let (keys, keyids) = keys_of(secrets);
            root.keys.extend(keys);
            root.roles.insert(role.into(), RoleKeys { keyids, threshold: *threshold });
        }
        root.sound().map_err(|why| Fault::Unreadable(Unreadable::Field(why)))?;
        let (targets, delegated, versions) = Default::default();
        Ok(Repository { root, targets, delegated, versions, terms })
    }

    /// Another set of keys for a role, from the next root on.
    pub fn rotate(&mut self, role: &str, secrets: &[&Secret], threshold: u32) -> Result<(), Fault> {
        let (keys, keyids) = keys_of(secrets);
        let had = self.root.roles.get_mut(role).ok_or_else(|| Fault::NoRole(role.into()))?;
        *had = RoleKeys { keyids, threshold };
        self.root.keys.extend(keys);
        let used = |id: &KeyId| self.root.roles.values().any(|r| r.keyids.contains(id));
        let unused: Vec<KeyId> = self.root.keys.keys().filter(|id| !used(id)).cloned().collect();
        unused.iter().for_each(|id| drop(self.root.keys.remove(id)));
        Ok(())
    }

    /// Lets another role speak for some paths.
    pub fn delegate(&mut self, role: Delegation, keys: &[&Secret], targets: Targets) {
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
    pub fn publish_root(&mut self, by: &[&Secret], now: Second) -> Result<Written, Fault> {
        let keys = self.root.roles[ROOT].clone();
        let have = by.iter().filter(|s| keys.keyids.contains(s.id())).count();
        if have < keys.threshold as usize {
            return Err(Fault::Threshold { role: ROOT.into(), have, threshold: keys.threshold });
        }
        let version = self.next(ROOT);
        let bytes = sign(&signed(&self.root, version, Second(now.0 + self.terms.root))?, by)?;
        Ok(Written { path: format!("{}.root.json", version.0), bytes })
    }

    fn by<'a>(&self, role: &str, keys: &RoleKeys, secrets: &[&'a Secret]) -> Result<Vec<&'a Secret>, Fault> {
        let by: Vec<&Secret> = secrets.iter().copied().filter(|s| keys.keyids.contains(s.id())).collect();
        if by.len() < keys.threshold as usize {
            return Err(Fault::Threshold { role: role.into(), have: by.len(), threshold: keys.threshold });
        }
        Ok(by)
    }

    /// A whole release: targets, delegated roles, snapshot, timestamp, to be written in this order. Nothing is
    /// changed if a key is missing.
    pub fn publish(&mut self, secrets: &[&Secret], now: Second) -> Result<Vec<Written>, Fault> {
        let mut next = self.clone();
        let written = next.release(secrets, now)?;
        *self = next;
        Ok(written)
    }

    fn release(&mut self, secrets: &[&Secret], now: Second) -> Result<Vec<Written>, Fault> {
        let mut written = Vec::new();
        let mut meta = BTreeMap::new();
        let ends = Second(now.0 + self.terms.targets);
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
            let bytes = sign(&signed(&targets, version, ends)?, &by)?;
            meta.insert(format!("{role}.json"), seen(version, &bytes));
            written.push(Written { path: format!("{}.{role}.json", version.0), bytes });
        }
        let by = self.by(SNAPSHOT, &self.root.roles[SNAPSHOT].clone(), secrets)?;
        let version = self.next(SNAPSHOT);
        let snapshot = signed(&Snapshot { meta }, version, Second(now.0 + self.terms.snapshot))?;
        let bytes = sign(&snapshot, &by)?;
        let announced = seen(version, &bytes);
        written.push(Written { path: format!("{}.snapshot.json", version.0), bytes });
        written.push(self.timestamp(announced, secrets, now)?);
        Ok(written)
    }

    fn timestamp(&mut self, snapshot: FileSeen, secrets: &[&Secret], now: Second) -> Result<Written, Fault> {
        let by = self.by(TIMESTAMP, &self.root.roles[TIMESTAMP].clone(), secrets)?;
        let version = self.next(TIMESTAMP);
        let meta = [("snapshot.json".to_string(), snapshot)].into();
        let timestamp = signed(&Timestamp { meta }, version, Second(now.0 + self.terms.timestamp))?;
        Ok(Written { path: "timestamp.json".into(), bytes: sign(&timestamp, &by)? })
    }
}

fn seen(version: Version, bytes: &[u8]) -> FileSeen {
    let described = crate::target::describe(bytes);
    let hashes = described.hashes.into_iter().filter(|(name, _)| name == "sha256").collect();
    FileSeen { version, length: Some(described.length), hashes }
}
