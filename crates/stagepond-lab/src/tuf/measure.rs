//! TUF in figures of this machine: the packed index against a plain map, checking a pack against copying it,
//! signatures a second. Medians of several rounds; ratios tell more than times.

use std::collections::HashMap;
use std::time::Instant;

use stagepond_tuf::index::{IndexEntry, TargetIndex};
use stagepond_tuf::keys::{verify_signature, SigningKey};
use stagepond_tuf::planted::Planted;
use stagepond_tuf::target::{describe_target, TargetVerifier};

const ROUNDS: usize = 7;

fn median(mut of: impl FnMut() -> f64) -> f64 {
    let mut all: Vec<f64> = (0..ROUNDS).map(|_| of()).collect();
    all.sort_by(f64::total_cmp);
    all[ROUNDS / 2]
}

#[derive(Clone, Debug)]
pub struct Indexed {
    pub targets: usize,
    /// Bytes for each target, and microseconds for each look-up; the plain map's bytes are counted, not asked.
    pub packed_bytes: f64,
    pub plain_bytes: f64,
    pub packed_us: f64,
    pub plain_us: f64,
}

pub fn index(targets: usize) -> Indexed {
    let path = |n: usize| {
        format!("packs/season-{}/venue-{:05}/round-{:02}.tgz", n / 500_000, n / 20 % 25_000, n % 20)
    };
    let mut paths: Vec<String> = (0..targets).map(path).collect();
    paths.sort();
    paths.dedup();
    let packed = |n: usize| IndexEntry { length: n as u64, sha256: [n as u8; 32] };
    let index = TargetIndex::from_sorted(paths.iter().enumerate().map(|(n, p)| (p.as_str(), packed(n))));
    let plain: HashMap<String, IndexEntry> =
        paths.iter().enumerate().map(|(n, p)| (p.clone(), packed(n))).collect();
    let heap: usize = plain.keys().map(|k| k.capacity().next_multiple_of(16) + 16).sum();
    let plain_bytes = plain.capacity() * (size_of::<(String, IndexEntry)>() + 1) + heap;
    let mut rng = fastrand::Rng::with_seed(1);
    let asked: Vec<&String> = (0..100_000).map(|_| &paths[rng.usize(..paths.len())]).collect();
    let time = |found: &dyn Fn(&str) -> bool| {
        median(|| {
            let begun = Instant::now();
            let all = asked.iter().filter(|p| found(p)).count();
            assert_eq!(all, asked.len());
            begun.elapsed().as_secs_f64() * 1e6 / asked.len() as f64
        })
    };
    Indexed {
        targets: index.len(),
        packed_bytes: index.memory_bytes() as f64 / index.len() as f64,
        plain_bytes: plain_bytes as f64 / index.len() as f64,
        packed_us: time(&|p| index.get(p).is_some()),
        plain_us: time(&|p| plain.contains_key(p)),
    }
}

/// Checking a pack of so many bytes as it comes in pieces of 16 KiB, and copying it: ms each.
pub fn checking(bytes: usize) -> (f64, f64) {
    let pack: Vec<u8> = (0..bytes).map(|n| ((n * 31) >> 3) as u8).collect();
    let mut target = describe_target(&pack);
    target.hashes.remove("sha512");
    let checked = median(|| {
        let (begun, mut checking) = (Instant::now(), TargetVerifier::new(&target, Planted::default()));
        pack.chunks(16 << 10).for_each(|piece| checking.update(piece).expect("as described"));
        checking.finish().expect("as described");
        begun.elapsed().as_secs_f64() * 1e3
    });
    let copied = median(|| {
        let (begun, mut copy) = (Instant::now(), Vec::with_capacity(bytes));
        pack.chunks(16 << 10).for_each(|piece| copy.extend_from_slice(piece));
        assert_eq!(copy.len(), bytes);
        begun.elapsed().as_secs_f64() * 1e3
    });
    (checked, copied)
}

/// Ed25519 signatures verified a second.
pub fn signatures() -> f64 {
    let secret = SigningKey::from_seed([1; 32]);
    let sig = secret.sign(b"some canonical bytes").expect("a key signs");
    let sig: Vec<u8> = (0..sig.sig.len() / 2)
        .map(|n| u8::from_str_radix(&sig.sig[2 * n..2 * n + 2], 16).expect("hex"))
        .collect();
    median(|| {
        let begun = Instant::now();
        for _ in 0..2000 {
            assert_eq!(verify_signature(secret.public_key(), b"some canonical bytes", &sig), Ok(true));
        }
        2000.0 / begun.elapsed().as_secs_f64()
    })
}
