//! Every attack on a tablet that knows an earlier release, singly and in pairs: refused for the right reason,
//! while every good pack passes; planted faults found; and a passer without verification, which must fail.

use stagepond_tuf::client::{Client, Limits, MetadataError, Progress, TrustedState, VersionFloors};
use stagepond_tuf::metadata::UnixSeconds;
use stagepond_tuf::planted::{Fault, Planted};
use stagepond_tuf::target::{TargetError, TargetVerifier};

use super::attacks::{consistent, Attack, Files, Served, World, OTHER, PACK};

/// How a pull ended: the bytes, or the kind of the refusal.
pub type Pulled = Result<Vec<u8>, &'static str>;

/// Reads at most so much of a file, and one byte more to see that it goes on.
fn read<'a>(files: &'a Files, path: &str, limit: u64) -> Option<&'a [u8]> {
    let bytes = files.get(path)?;
    Some(&bytes[..bytes.len().min(limit as usize + 1)])
}

fn carry(
    client: &mut Client, files: &Files, first: Result<Progress, MetadataError>,
) -> Result<Progress, MetadataError> {
    let mut came = first;
    // No workflow takes more files than roots and delegations are allowed.
    for _ in 0..2000 {
        let want = match came? {
            Progress::NeedFile(want) => want,
            end => return Ok(end),
        };
        came = match read(files, &want.path, want.max_bytes) {
            Some(bytes) => client.on_file(bytes),
            None => client.on_file_missing(),
        };
    }
    panic!("a workflow without end")
}

/// Refreshes, looks the target up and reads its bytes against it.
pub fn pull(client: &mut Client, files: &Files, now: UnixSeconds, path: &str) -> Pulled {
    let want = client.refresh(now);
    carry(client, files, Ok(Progress::NeedFile(want))).map_err(|r| r.kind())?;
    let found = client.find_target(now, 0, path);
    let found = carry(client, files, found).map_err(|r| r.kind())?;
    let Progress::TargetFound { target, .. } = found else { return Err("not_found") };
    let at = consistent(path, &target);
    let bytes = files.get(&at).ok_or("target_missing")?;
    let mut checking = TargetVerifier::new(&target, client_planted(client));
    let wrong = |wrong| match wrong {
        TargetError::TooLong(_) => "target_longer",
        TargetError::TooShort { .. } => "target_shorter",
        TargetError::HashMismatch(_) => "target_hash",
    };
    for piece in bytes.chunks(7) {
        checking.update(piece).map_err(wrong)?;
    }
    checking.finish().map_err(wrong)?;
    Ok(bytes.clone())
}

fn client_planted(client: &Client) -> Planted {
    client.planted_fault()
}

/// A tablet that trusts the first or the second release, restarted from what it kept.
pub fn tablet(world: &World, release: usize, planted: Planted) -> Client {
    let limits = Limits::default();
    let root = world.first_root();
    let mut client = Client::new(root, VersionFloors::default(), limits.clone(), Planted::default())
        .expect("the first root");
    let now = UnixSeconds(world.now.0 - 3600);
    for path in [PACK, OTHER] {
        pull(&mut client, &world.releases[release], now, path).expect("an honest release");
    }
    let kept: TrustedState = client.trusted_state();
    Client::resume(&kept, VersionFloors::default(), limits, planted).expect("what was kept")
}

/// What the last release holds under that name.
fn right<'a>(world: &'a World, path: &str) -> Option<&'a Vec<u8>> {
    let name = format!(".{}", path.rsplit('/').next()?);
    let last = world.releases.last()?;
    let before = &world.releases[world.releases.len() - 2];
    last.iter().find(|(p, _)| p.ends_with(&name) && !before.contains_key(*p)).map(|(_, bytes)| bytes)
}

#[derive(Clone, Debug, Default)]
pub struct Sum {
    pub attacks: usize,
    pub refused: usize,
    /// Refused, for another reason than the one owed.
    pub other_reason: Vec<String>,
    pub passed: Vec<String>,
    pub pairs: usize,
    pub pairs_refused: usize,
    pub good: usize,
    pub good_passed: usize,
    /// Attacks that a passer without verification let through.
    pub control_passed: usize,
}

/// All attacks of a seed, and so many pairs.
pub fn run(seed: u64, pairs: usize) -> Sum {
    let world = World::new(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sum = Sum::default();
    for release in 0..2 {
        let honest = Served::honest(&world);
        for path in [PACK, OTHER] {
            sum.good += 1;
            let pulled =
                pull(&mut tablet(&world, release, Planted::default()), &honest.files, honest.now, path);
            sum.good_passed += usize::from(pulled.is_ok());
        }
        let fits = |attack: &Attack| release > 0 || !attack.goes_back();
        for attack in Attack::ALL.into_iter().filter(fits) {
            let mut served = Served::honest(&world);
            served.attack(attack);
            sum.attacks += 1;
            let pulled = pull(
                &mut tablet(&world, release, Planted::default()),
                &served.files,
                served.now,
                attack.asks(),
            );
            match pulled {
                Err(kind) if kind == attack.owed() => sum.refused += 1,
                Err(kind) => {
                    sum.refused += 1;
                    sum.other_reason.push(format!("seed {seed} {attack:?}: {kind}, owed {}", attack.owed()));
                }
                Ok(_) => sum.passed.push(format!("seed {seed} {attack:?}")),
            }
            // What a sidecar that only passes on would hand out: whatever stands there for the pack.
            let any = served.files.iter().find(|(path, _)| path.starts_with("targets/packs/"));
            sum.control_passed += usize::from(any.is_some());
        }
        for _ in 0..pairs {
            let two =
                [Attack::ALL[rng.usize(..Attack::ALL.len())], Attack::ALL[rng.usize(..Attack::ALL.len())]];
            if !two.iter().all(fits) {
                continue;
            }
            let mut served = Served::honest(&world);
            // One that takes a file away leaves nothing for the other to work on.
            let mut order = two;
            order.sort_by_key(|a| {
                format!("{a:?}").contains("Missing") || format!("{a:?}").contains("Garbage")
            });
            order.iter().for_each(|attack| served.attack(*attack));
            sum.pairs += 1;
            let mut client = tablet(&world, release, Planted::default());
            match pull(&mut client, &served.files, served.now, two[0].asks()) {
                Err(_) => sum.pairs_refused += 1,
                // The second may have put right, in passing, what the first spoilt: then it alone must be seen.
                Ok(bytes) if Some(&bytes) == right(&world, two[0].asks()) => sum.pairs_refused += 1,
                Ok(_) => sum.passed.push(format!("seed {seed} {two:?}")),
            }
        }
    }
    sum
}

/// The first attack that a planted fault lets through.
pub fn find(fault: Fault, seed: u64) -> Option<Attack> {
    let world = World::new(seed);
    Attack::ALL.into_iter().find(|attack| {
        let mut served = Served::honest(&world);
        served.attack(*attack);
        let mut client = tablet(&world, 1, Planted::new(fault));
        let pulled = pull(&mut client, &served.files, served.now, attack.asks());
        // Another reason is a find, too: the check that was owed is not there.
        pulled.is_ok() || pulled.is_err_and(|kind| kind != attack.owed())
    })
}
