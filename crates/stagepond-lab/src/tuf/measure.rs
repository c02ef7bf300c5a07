//! Measurements of TUF on this machine: the packed target index against a hash map, verifying a target
//! against copying it, and signature checks per second. Each figure is the median of several rounds; the
//! ratios between figures depend less on the machine than the times do.

use std::collections::HashMap;
use std::time::Instant;

use stagepond_tuf::index::{IndexEntry, TargetIndex};
use stagepond_tuf::keys::{verify_signature, SigningKey};
use stagepond_tuf::planted::Planted;
use stagepond_tuf::target::{describe_target, TargetVerifier};

/// Rounds of each measurement.
const ROUNDS: usize = 7;
/// Lookups in one round.
const LOOKUPS: usize = 100_000;
/// Signatures verified in one round.
const SIGNATURES: usize = 2000;
/// Size of the pieces in which a target is verified or copied.
const PIECE_BYTES: usize = 16 << 10;

/// Runs a measurement `ROUNDS` times and returns the median.
fn median_of_rounds(mut measure: impl FnMut() -> f64) -> f64 {
    let mut results: Vec<f64> = (0..ROUNDS).map(|_| measure()).collect();
    results.sort_by(f64::total_cmp);
    results[ROUNDS / 2]
}

/// Memory and lookup time of the packed index and of a hash map with the same entries.
#[derive(Clone, Debug)]
pub struct IndexComparison {
    /// Number of entries.
    pub targets: usize,
    /// Bytes per entry of the index.
    pub index_bytes: f64,
    /// Bytes per entry of the hash map, computed from its capacity and its keys.
    pub map_bytes: f64,
    /// Microseconds per lookup in the index.
    pub index_lookup_us: f64,
    /// Microseconds per lookup in the hash map.
    pub map_lookup_us: f64,
}

/// Compares the packed index with a hash map at this number of targets.
pub fn compare_index(targets: usize) -> IndexComparison {
    let path = |n: usize| {
        format!("packs/season-{}/venue-{:05}/round-{:02}.tgz", n / 500_000, n / 20 % 25_000, n % 20)
    };
    let mut paths: Vec<String> = (0..targets).map(path).collect();
    paths.sort();
    paths.dedup();
    let entry = |n: usize| IndexEntry { length: n as u64, sha256: [n as u8; 32] };
    let index = TargetIndex::from_sorted(paths.iter().enumerate().map(|(n, p)| (p.as_str(), entry(n))));
    let map: HashMap<String, IndexEntry> =
        paths.iter().enumerate().map(|(n, p)| (p.clone(), entry(n))).collect();
    // Each key is a heap block: its capacity rounded up to 16 bytes, and 16 bytes for the allocator.
    let key_bytes: usize = map.keys().map(|k| k.capacity().next_multiple_of(16) + 16).sum();
    // The table holds key, value and one control byte per slot.
    let map_bytes = map.capacity() * (size_of::<(String, IndexEntry)>() + 1) + key_bytes;
    let mut rng = fastrand::Rng::with_seed(1);
    let requested: Vec<&String> = (0..LOOKUPS).map(|_| &paths[rng.usize(..paths.len())]).collect();
    let lookup_us = |contains: &dyn Fn(&str) -> bool| {
        median_of_rounds(|| {
            let start = Instant::now();
            let found = requested.iter().filter(|p| contains(p)).count();
            assert_eq!(found, requested.len());
            start.elapsed().as_secs_f64() * 1e6 / requested.len() as f64
        })
    };
    IndexComparison {
        targets: index.len(),
        index_bytes: index.memory_bytes() as f64 / index.len() as f64,
        map_bytes: map_bytes as f64 / index.len() as f64,
        index_lookup_us: lookup_us(&|p| index.get(p).is_some()),
        map_lookup_us: lookup_us(&|p| map.contains_key(p)),
    }
}

/// Time to verify a target and time to copy the same bytes, both in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct VerificationTime {
    /// Time to hash the target and compare it.
    pub verify_ms: f64,
    /// Time to copy the same bytes.
    pub copy_ms: f64,
}

/// Measures verifying and copying a target of `bytes` bytes, in pieces of 16 KiB.
pub fn verification_time(bytes: usize) -> VerificationTime {
    let data: Vec<u8> = (0..bytes).map(|n| ((n * 31) >> 3) as u8).collect();
    let mut target = describe_target(&data);
    target.hashes.remove("sha512");
    let verify_ms = median_of_rounds(|| {
        let (start, mut verifier) = (Instant::now(), TargetVerifier::new(&target, Planted::default()));
        data.chunks(PIECE_BYTES).for_each(|piece| verifier.update(piece).expect("the target is genuine"));
        verifier.finish().expect("the target is genuine");
        start.elapsed().as_secs_f64() * 1e3
    });
    let copy_ms = median_of_rounds(|| {
        let (start, mut copy) = (Instant::now(), Vec::with_capacity(bytes));
        data.chunks(PIECE_BYTES).for_each(|piece| copy.extend_from_slice(piece));
        assert_eq!(copy.len(), bytes);
        start.elapsed().as_secs_f64() * 1e3
    });
    VerificationTime { verify_ms, copy_ms }
}

/// Measures how many Ed25519 signatures are verified per second.
pub fn signatures_per_second() -> f64 {
    const MESSAGE: &[u8] = b"some canonical bytes";
    let key = SigningKey::from_seed([1; 32]);
    let signature = key.sign(MESSAGE).expect("an Ed25519 key can sign");
    let signature: Vec<u8> = (0..signature.sig.len() / 2)
        .map(|n| {
            u8::from_str_radix(&signature.sig[2 * n..2 * n + 2], 16).expect("signatures are written in hex")
        })
        .collect();
    median_of_rounds(|| {
        let start = Instant::now();
        for _ in 0..SIGNATURES {
            assert_eq!(verify_signature(key.public_key(), MESSAGE, &signature), Ok(true));
        }
        SIGNATURES as f64 / start.elapsed().as_secs_f64()
    })
}
