//! A compact in-memory index of many targets. Sorted paths are grouped into blocks; within a block each path
//! is stored as the length of the prefix that it shares with the one before and the rest (front coding). A
//! lookup is a binary search over the first path of each block, followed by a scan of one block.

use std::collections::BTreeMap;

use crate::metadata::Target;

/// Paths in one block. A larger block takes less memory, but a lookup scans half a block on average.
const PATHS_PER_BLOCK: usize = 16;
/// Length of a SHA-256 hash in bytes.
const SHA256_BYTES: usize = 32;

/// What the index stores of a target: its length in bytes and its SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// Length of the target in bytes.
    pub length: u64,
    /// SHA-256 of the target, in binary form.
    pub sha256: [u8; SHA256_BYTES],
}

impl IndexEntry {
    /// The entry of a target; `None` if it has no valid `sha256` hash.
    pub fn from_target(target: &Target) -> Option<IndexEntry> {
        let hash = hex::decode(target.hashes.get("sha256")?).ok()?;
        Some(IndexEntry { length: target.length, sha256: hash.try_into().ok()? })
    }
}

/// Index from target path to [`IndexEntry`]. Each entry holds shared length, rest length, rest, target length
/// (all lengths as LEB128) and SHA-256.
#[derive(Clone, Debug, Default)]
pub struct TargetIndex {
    bytes: Vec<u8>,
    /// Offset of each block in `bytes`; it limits them to 4 GiB.
    blocks: Vec<u32>,
    len: usize,
}

/// Appends a number in LEB128: seven bits a byte, the lowest first.
fn write_leb128(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

/// Reads a number in LEB128 and advances `bytes` past it.
fn read_leb128(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0;
    for shift in (0..64).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}

impl TargetIndex {
    /// Builds an index from paths in ascending order without duplicates, as a `BTreeMap` yields them.
    pub fn from_sorted<'a>(targets: impl Iterator<Item = (&'a str, IndexEntry)>) -> TargetIndex {
        let mut index = TargetIndex::default();
        let mut previous = String::new();
        for (path, entry) in targets {
            debug_assert!(index.len == 0 || previous.as_str() < path, "paths must be sorted and distinct");
            let starts_block = index.len.is_multiple_of(PATHS_PER_BLOCK);
            if starts_block {
                index.blocks.push(index.bytes.len() as u32);
            }
            let shared = previous.bytes().zip(path.bytes()).take_while(|(a, b)| a == b).count();
            let shared = if starts_block { 0 } else { shared };
            write_leb128(&mut index.bytes, shared as u64);
            write_leb128(&mut index.bytes, (path.len() - shared) as u64);
            index.bytes.extend(&path.as_bytes()[shared..]);
            write_leb128(&mut index.bytes, entry.length);
            index.bytes.extend(entry.sha256);
            path.clone_into(&mut previous);
            index.len += 1;
        }
        index.bytes.shrink_to_fit();
        index.blocks.shrink_to_fit();
        index
    }

    /// Builds an index of all targets that have a valid `sha256` hash.
    pub fn from_targets(targets: &BTreeMap<String, Target>) -> TargetIndex {
        TargetIndex::from_sorted(
            targets
                .iter()
                .filter_map(|(path, target)| Some((path.as_str(), IndexEntry::from_target(target)?))),
        )
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the index has no targets.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory allocated for the index, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.capacity() + self.blocks.capacity() * size_of::<u32>()
    }

    /// The first path of a block; it is stored in full.
    fn first_path(&self, block: usize) -> &[u8] {
        let mut bytes = &self.bytes[self.blocks[block] as usize..];
        let _shared = read_leb128(&mut bytes);
        let len = read_leb128(&mut bytes).unwrap_or(0);
        &bytes[..len as usize]
    }

    /// The entry of a path; `None` if the index does not contain that path.
    pub fn get(&self, path: &str) -> Option<IndexEntry> {
        let wanted = path.as_bytes();
        let (mut low, mut high) = (0, self.blocks.len());
        while low < high {
            let middle = (low + high) / 2;
            if self.first_path(middle) <= wanted {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let block = low.checked_sub(1)?;
        let mut bytes = &self.bytes[self.blocks[block] as usize..];
        // Bytes that follow this block.
        let after_block = self.blocks.get(block + 1).map_or(0, |at| self.bytes.len() - *at as usize);
        // Length of the prefix that the wanted path shares with the last path read.
        let mut matched = 0;
        while bytes.len() > after_block {
            let shared = read_leb128(&mut bytes)? as usize;
            let rest_len = read_leb128(&mut bytes)? as usize;
            let (path_rest, remaining) = bytes.split_at_checked(rest_len)?;
            bytes = remaining;
            let length = read_leb128(&mut bytes)?;
            let (hash, remaining) = bytes.split_at_checked(SHA256_BYTES)?;
            bytes = remaining;
            if shared > matched {
                // The path differs from the wanted one where the previous path did.
                continue;
            }
            if shared < matched {
                // The path sorts after the wanted one, and so do all that follow.
                return None;
            }
            let equal = path_rest.iter().zip(&wanted[shared..]).take_while(|(a, b)| a == b).count();
            matched = shared + equal;
            if matched == wanted.len() && equal == path_rest.len() {
                return Some(IndexEntry { length, sha256: hash.try_into().ok()? });
            }
            if equal < path_rest.len() && (matched == wanted.len() || path_rest[equal] > wanted[matched]) {
                return None;
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn test_entry(n: u64) -> IndexEntry {
        IndexEntry { length: n, sha256: [n as u8; SHA256_BYTES] }
    }

    proptest! {
        #[test]
        fn lookups_agree_with_a_map(paths in proptest::collection::btree_set("[ab/]{0,6}", 0..80), asked in "[ab/]{0,6}") {
            let map: BTreeMap<&str, IndexEntry> =
                paths.iter().enumerate().map(|(n, path)| (path.as_str(), test_entry(n as u64 * 1000))).collect();
            let index = TargetIndex::from_sorted(map.iter().map(|(path, entry)| (*path, *entry)));
            prop_assert_eq!(index.len(), map.len());
            prop_assert_eq!(index.get(&asked), map.get(asked.as_str()).copied());
            for (path, entry) in &map {
                prop_assert_eq!(index.get(path), Some(*entry), "{}", path);
            }
        }
    }
}
