//! Large sets of targets in little memory: paths sorted and cut into blocks, each path stored as what it adds to
//! the one before, looked up by the first path of each block and then within one. It owns the packed bytes; it
//! must never answer for a path that was not put in.

use std::collections::BTreeMap;

use crate::metadata::Target;

/// Paths in one block: a search reads half of one on average.
const BLOCK: usize = 16;
const SUM: usize = 32;

/// What is kept of a target: its length and SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub length: u64,
    pub sha256: [u8; SUM],
}

impl IndexEntry {
    pub fn from_target(target: &Target) -> Option<IndexEntry> {
        let sum = hex::decode(target.hashes.get("sha256")?).ok()?;
        Some(IndexEntry { length: target.length, sha256: sum.try_into().ok()? })
    }
}

#[derive(Clone, Debug, Default)]
pub struct TargetIndex {
    bytes: Vec<u8>,
    /// Where each block begins.
    blocks: Vec<u32>,
    len: usize,
}

fn put(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn take(bytes: &mut &[u8]) -> Option<u64> {
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
    /// From paths in order, each once; a `BTreeMap` gives them so.
    pub fn from_sorted<'a>(targets: impl Iterator<Item = (&'a str, IndexEntry)>) -> TargetIndex {
        let mut index = TargetIndex::default();
        let mut last = String::new();
        for (path, packed) in targets {
            debug_assert!(index.len == 0 || last.as_str() < path, "paths rise");
            let fresh = index.len.is_multiple_of(BLOCK);
            if fresh {
                index.blocks.push(index.bytes.len() as u32);
            }
            let same = last.bytes().zip(path.bytes()).take_while(|(a, b)| a == b).count();
            let same = if fresh { 0 } else { same };
            put(&mut index.bytes, same as u64);
            put(&mut index.bytes, (path.len() - same) as u64);
            index.bytes.extend(&path.as_bytes()[same..]);
            put(&mut index.bytes, packed.length);
            index.bytes.extend(packed.sha256);
            path.clone_into(&mut last);
            index.len += 1;
        }
        index.bytes.shrink_to_fit();
        index.blocks.shrink_to_fit();
        index
    }

    pub fn from_targets(targets: &BTreeMap<String, Target>) -> TargetIndex {
        TargetIndex::from_sorted(
            targets
                .iter()
                .filter_map(|(path, target)| Some((path.as_str(), IndexEntry::from_target(target)?))),
        )
    }

    pub fn len(&self) -> usize {
        self.len
    }
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
    /// Bytes that it holds.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.capacity() + self.blocks.capacity() * size_of::<u32>()
    }

    fn first(&self, block: usize) -> &[u8] {
        let mut bytes = &self.bytes[self.blocks[block] as usize..];
        let (_, len) = (take(&mut bytes), take(&mut bytes).unwrap_or(0));
        &bytes[..len as usize]
    }

    pub fn get(&self, path: &str) -> Option<IndexEntry> {
        let wanted = path.as_bytes();
        let (mut low, mut high) = (0, self.blocks.len());
        while low < high {
            let middle = (low + high) / 2;
            if self.first(middle) <= wanted {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let block = low.checked_sub(1)?;
        let mut bytes = &self.bytes[self.blocks[block] as usize..];
        let end = self.blocks.get(block + 1).map_or(0, |at| self.bytes.len() - *at as usize);
        // How much of the wanted path the last one read began with.
        let mut matched = 0;
        while bytes.len() > end {
            let (same, len) = (take(&mut bytes)? as usize, take(&mut bytes)? as usize);
            let (added, rest) = bytes.split_at_checked(len)?;
            bytes = rest;
            let length = take(&mut bytes)?;
            let (sum, rest) = bytes.split_at_checked(SUM)?;
            bytes = rest;
            if same > matched {
                // It differs where the one before did.
                continue;
            }
            if same < matched {
                return None;
            }
            let more = added.iter().zip(&wanted[same..]).take_while(|(a, b)| a == b).count();
            matched = same + more;
            if matched == wanted.len() && more == added.len() {
                return Some(IndexEntry { length, sha256: sum.try_into().ok()? });
            }
            if more < added.len() && (matched == wanted.len() || added[more] > wanted[matched]) {
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

    fn packed(n: u64) -> IndexEntry {
        IndexEntry { length: n, sha256: [n as u8; SUM] }
    }

    proptest! {
        #[test]
        fn as_the_plain_map_says(paths in proptest::collection::btree_set("[ab/]{0,6}", 0..80), asked in "[ab/]{0,6}") {
            let plain: BTreeMap<&str, IndexEntry> =
                paths.iter().enumerate().map(|(n, path)| (path.as_str(), packed(n as u64 * 1000))).collect();
            let index = TargetIndex::from_sorted(plain.iter().map(|(path, packed)| (*path, *packed)));
            prop_assert_eq!(index.len(), plain.len());
            prop_assert_eq!(index.get(&asked), plain.get(asked.as_str()).copied());
            for (path, packed) in &plain {
                prop_assert_eq!(index.get(path), Some(*packed), "{}", path);
            }
        }
    }
}
