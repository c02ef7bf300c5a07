//! Proof that a client refuses every attack, singly with the expected error and in pairs, while it accepts
//! every honest release. Two controls show that the proof can fail: each planted fault must be detected, and
//! without verification the attacks must get through.

use stagepond_tuf::client::{Client, Limits, MetadataError, Progress, TrustedState, VersionFloors};
use stagepond_tuf::metadata::UnixSeconds;
use stagepond_tuf::planted::{Fault, Planted};
use stagepond_tuf::target::{TargetError, TargetVerifier};

use super::attacks::{
    consistent_target_path, Attack, Files, Mirror, TestRepository, DELEGATED_PATH, PACK_PATH,
};

/// The most files that a workflow may request; above what the client's limits on roots and delegations allow.
const MAX_REQUESTED_FILES: usize = 2000;
/// Size of the pieces in which a target is passed to the verifier, in bytes; small, so that short targets
/// have several.
const TARGET_PIECE_BYTES: usize = 7;

/// The verified bytes of a target, or the kind of the error.
pub type FetchResult = Result<Vec<u8>, &'static str>;

/// Returns at most `max_bytes` of a file and one byte more, which shows the client that the file is too long.
fn read_limited<'a>(files: &'a Files, path: &str, max_bytes: u64) -> Option<&'a [u8]> {
    let bytes = files.get(path)?;
    Some(&bytes[..bytes.len().min(max_bytes as usize + 1)])
}

/// Passes the files that the client requests to it until the workflow ends.
fn run_workflow(
    client: &mut Client, files: &Files, first: Result<Progress, MetadataError>,
) -> Result<Progress, MetadataError> {
    let mut progress = first;
    for _ in 0..MAX_REQUESTED_FILES {
        let request = match progress? {
            Progress::NeedFile(request) => request,
            finished => return Ok(finished),
        };
        progress = match read_limited(files, &request.path, request.max_bytes) {
            Some(bytes) => client.on_file(bytes),
            None => client.on_file_missing(),
        };
    }
    panic!("the client requested more than {MAX_REQUESTED_FILES} files")
}

/// Returns the kind by which attacks name an error in a target's bytes.
pub fn target_error_kind(error: TargetError) -> &'static str {
    match error {
        TargetError::TooLong(_) => "target_longer",
        TargetError::TooShort { .. } => "target_shorter",
        TargetError::HashMismatch(_) => "target_hash",
    }
}

/// Refreshes the metadata, searches the target, and verifies its bytes.
pub fn fetch_target(client: &mut Client, files: &Files, now: UnixSeconds, path: &str) -> FetchResult {
    let request = client.refresh(now);
    run_workflow(client, files, Ok(Progress::NeedFile(request))).map_err(|error| error.kind())?;
    let search = client.find_target(now, 0, path);
    let found = run_workflow(client, files, search).map_err(|error| error.kind())?;
    let Progress::TargetFound { target, .. } = found else { return Err("not_found") };
    let bytes = files.get(&consistent_target_path(path, &target)).ok_or("target_missing")?;
    let mut verifier = TargetVerifier::new(&target, client.planted_fault());
    for piece in bytes.chunks(TARGET_PIECE_BYTES) {
        verifier.update(piece).map_err(target_error_kind)?;
    }
    verifier.finish().map_err(target_error_kind)?;
    Ok(bytes.clone())
}

/// Returns a client that fetched both targets of a release (index into `TestRepository::releases`) and then
/// restarted from its trusted state.
pub fn client_trusting_release(repository: &TestRepository, release: usize, planted: Planted) -> Client {
    let limits = Limits::default();
    let root = repository.first_root();
    let mut client = Client::new(root, VersionFloors::default(), limits.clone(), Planted::default())
        .expect("the first root is valid");
    let now = UnixSeconds(repository.now.0 - 3600);
    for path in [PACK_PATH, DELEGATED_PATH] {
        fetch_target(&mut client, &repository.releases[release], now, path)
            .expect("an honest release is accepted");
    }
    let state: TrustedState = client.trusted_state();
    Client::resume(&state, VersionFloors::default(), limits, planted).expect("the trusted state is valid")
}

/// Returns the genuine bytes of a target that is new in the last release.
fn genuine_target<'a>(repository: &'a TestRepository, path: &str) -> Option<&'a Vec<u8>> {
    let suffix = format!(".{}", path.rsplit('/').next()?);
    let last = repository.releases.last()?;
    let previous = &repository.releases[repository.releases.len() - 2];
    last.iter().find(|(p, _)| p.ends_with(&suffix) && !previous.contains_key(*p)).map(|(_, bytes)| bytes)
}

/// What a run of the proof counted. Each failure is described in one line.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Single attacks.
    pub attacks: usize,
    /// Single attacks that were refused, for any reason.
    pub refused: usize,
    /// Single attacks that were refused with another error than the expected one.
    pub unexpected_errors: Vec<String>,
    /// Attacks and pairs whose target was accepted.
    pub accepted: Vec<String>,
    /// Pairs of attacks.
    pub pairs: usize,
    /// Pairs that were refused, or that left the genuine target in place.
    pub pairs_refused: usize,
    /// Fetches from an honest mirror.
    pub honest_fetches: usize,
    /// Fetches from an honest mirror that succeeded.
    pub honest_fetches_passed: usize,
    /// Attacks in which a client without verification would have got a file.
    pub passed_unverified: usize,
}

/// Runs all attacks, and at most `pairs` random pairs of them, against clients that trust the first and the
/// second release.
pub fn run_attacks(seed: u64, pairs: usize) -> Summary {
    let repository = TestRepository::new(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut summary = Summary::default();
    for release in 0..2 {
        let new_client = || client_trusting_release(&repository, release, Planted::default());
        let honest = Mirror::honest(&repository);
        for path in [PACK_PATH, DELEGATED_PATH] {
            summary.honest_fetches += 1;
            let fetched = fetch_target(&mut new_client(), &honest.files, honest.now, path);
            summary.honest_fetches_passed += usize::from(fetched.is_ok());
        }
        let applies = |attack: &Attack| release > 0 || !attack.rolls_back_to_first_release();
        for attack in Attack::ALL.into_iter().filter(applies) {
            let mut mirror = Mirror::honest(&repository);
            mirror.apply(attack);
            summary.attacks += 1;
            match fetch_target(&mut new_client(), &mirror.files, mirror.now, attack.requested_path()) {
                Err(kind) if kind == attack.expected_error() => summary.refused += 1,
                Err(kind) => {
                    summary.refused += 1;
                    summary.unexpected_errors.push(format!(
                        "seed {seed} {attack:?}: {kind}, expected {}",
                        attack.expected_error()
                    ));
                }
                Ok(_) => summary.accepted.push(format!("seed {seed} {attack:?}")),
            }
            // A sidecar without verification would return whatever file is served for the pack.
            let unverified = mirror.files.iter().find(|(path, _)| path.starts_with("targets/packs/"));
            summary.passed_unverified += usize::from(unverified.is_some());
        }
        for _ in 0..pairs {
            let pair =
                [Attack::ALL[rng.usize(..Attack::ALL.len())], Attack::ALL[rng.usize(..Attack::ALL.len())]];
            if !pair.iter().all(applies) {
                continue;
            }
            let mut mirror = Mirror::honest(&repository);
            // An attack that removes or truncates a file is applied last, as the other may need the file.
            let mut order = pair;
            order.sort_by_key(|a| {
                format!("{a:?}").contains("Missing") || format!("{a:?}").contains("Garbage")
            });
            order.iter().for_each(|attack| mirror.apply(*attack));
            summary.pairs += 1;
            match fetch_target(&mut new_client(), &mirror.files, mirror.now, pair[0].requested_path()) {
                Err(_) => summary.pairs_refused += 1,
                // The second attack may undo the first, for example by signing the file again. The client is
                // then right to accept the genuine target.
                Ok(bytes) if Some(&bytes) == genuine_target(&repository, pair[0].requested_path()) => {
                    summary.pairs_refused += 1
                }
                Ok(_) => summary.accepted.push(format!("seed {seed} {pair:?}")),
            }
        }
    }
    summary
}

/// Returns the first attack that a client with the planted fault does not refuse with the expected error.
/// Another error counts as well: it shows that the check which should have failed is not there.
pub fn find_planted(fault: Fault, seed: u64) -> Option<Attack> {
    let repository = TestRepository::new(seed);
    Attack::ALL.into_iter().find(|attack| {
        let mut mirror = Mirror::honest(&repository);
        mirror.apply(*attack);
        let mut client = client_trusting_release(&repository, 1, Planted::new(fault));
        let fetched = fetch_target(&mut client, &mirror.files, mirror.now, attack.requested_path());
        fetched.is_ok() || fetched.is_err_and(|kind| kind != attack.expected_error())
    })
}
