//! Tests of the client with a repository in memory: many root versions behind, a clock that is set back,
//! fast-forward attack and recovery, a release written during a refresh, order, cycles and number of
//! delegations.

use std::collections::BTreeMap;

use rstest::rstest;
use stagepond_tuf::client::{Client, Limits, MetadataError, Progress, TrustedState, VersionFloors};
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::*;
use stagepond_tuf::planted::Planted;
use stagepond_tuf::repository::{ExpiryPeriods, MetadataFile, Repository};
use stagepond_tuf::target::describe_target;

const NOW: UnixSeconds = UnixSeconds(1_790_000_000);
const DAY_SECONDS: i64 = 86_400;

struct TestRepository {
    key: SigningKey,
    repository: Repository,
    files: BTreeMap<String, Vec<u8>>,
}

impl TestRepository {
    fn new() -> TestRepository {
        let key = SigningKey::from_seed([1; 32]);
        let roles = [ROOT, TARGETS, SNAPSHOT, TIMESTAMP].map(|r| (r.to_string(), (vec![&key], 1))).into();
        let repository = Repository::new(&roles, ExpiryPeriods::default()).unwrap();
        let mut server = TestRepository { key, repository, files: BTreeMap::new() };
        server.publish_root(&[]);
        server
    }

    fn store(&mut self, files: Vec<MetadataFile>) {
        self.files.extend(files.into_iter().map(|file| (file.path, file.bytes)));
    }

    /// Signs and stores the next root with the repository's key and `additional_keys`.
    fn publish_root(&mut self, additional_keys: &[&SigningKey]) {
        let signers: Vec<&SigningKey> =
            [&self.key].into_iter().chain(additional_keys.iter().copied()).collect();
        let root = self.repository.publish_root(&signers, NOW).unwrap();
        self.store(vec![root]);
    }

    /// Signs and stores a release with the repository's key and `additional_keys`.
    fn publish(&mut self, additional_keys: &[&SigningKey]) {
        let signers: Vec<&SigningKey> =
            [&self.key].into_iter().chain(additional_keys.iter().copied()).collect();
        let release = self.repository.publish(&signers, NOW).unwrap();
        self.store(release);
    }

    fn client(&self, limits: Limits) -> Client {
        Client::new(&self.files["1.root.json"], VersionFloors::default(), limits, Planted::default()).unwrap()
    }

    /// Answers the client's file requests until the workflow ends.
    fn serve(
        &self, client: &mut Client, mut progress: Result<Progress, MetadataError>,
    ) -> Result<Progress, MetadataError> {
        loop {
            let request = match progress? {
                Progress::NeedFile(request) => request,
                end => return Ok(end),
            };
            progress = match self.files.get(&request.path) {
                Some(bytes) => client.on_file(bytes),
                None => client.on_file_missing(),
            };
        }
    }

    fn refresh(&self, client: &mut Client, now: UnixSeconds) -> Result<Progress, MetadataError> {
        let request = client.refresh(now);
        self.serve(client, Ok(Progress::NeedFile(request)))
    }

    fn find(&self, client: &mut Client, path: &str) -> Result<Progress, MetadataError> {
        let progress = client.find_target(NOW, 0, path);
        self.serve(client, progress)
    }

    fn delegate(&mut self, name: &str, terminating: bool, targets: Targets) {
        let key = SigningKey::from_seed([1; 32]);
        self.delegate_to(&key, name, terminating, targets);
    }

    /// Delegates `packs/*` to a role with this key.
    fn delegate_to(&mut self, key: &SigningKey, name: &str, terminating: bool, targets: Targets) {
        let role = Delegation {
            name: RoleName(name.into()),
            keyids: vec![key.id().clone()],
            threshold: 1,
            terminating,
            paths: Some(vec!["packs/*".into()]),
            path_hash_prefixes: None,
        };
        self.repository.add_delegation(role, &[key], targets);
    }
}

/// Targets metadata that lists one target.
fn targets_with(path: &str, bytes: &[u8]) -> Targets {
    Targets { targets: [(path.to_string(), describe_target(bytes))].into(), delegations: None }
}

#[rstest]
fn a_client_follows_200_new_roots_but_no_more_than_its_limit() {
    let mut server = TestRepository::new();
    (0..200).for_each(|_| server.publish_root(&[]));
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    assert_eq!(client.trusted_roles()[0].1, Version(201));
    let mut client = server.client(Limits { max_new_roots: 150, ..Limits::default() });
    assert_eq!(server.refresh(&mut client, NOW), Err(MetadataError::TooManyRoots(150)));
}

#[rstest]
fn a_clock_set_back_does_not_make_expired_metadata_valid() {
    let mut server = TestRepository::new();
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    let later = UnixSeconds(NOW.0 + 2 * DAY_SECONDS);
    assert_eq!(server.refresh(&mut client, later).unwrap_err().kind(), "expired");
    assert_eq!(server.refresh(&mut client, NOW).unwrap_err().kind(), "expired");
}

#[rstest]
fn fast_forwarded_versions_are_recovered_by_new_keys_only() {
    let mut server = TestRepository::new();
    server.publish(&[]);
    server.repository.versions.insert(TIMESTAMP.into(), Version(1_000_000));
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    server.repository.versions.insert(TIMESTAMP.into(), Version(2));
    server.publish(&[]);
    assert_eq!(server.refresh(&mut client, NOW).unwrap_err().kind(), "rollback");
    let new_key = SigningKey::from_seed([2; 32]);
    server.repository.rotate_keys(TIMESTAMP, &[&new_key], 1).unwrap();
    server.publish_root(&[]);
    server.publish(&[&new_key]);
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
}

/// Of two clients with different trusted versions, the older one accepts the newer release and the newer one
/// refuses the older release.
#[rstest]
fn clients_move_to_newer_versions_only() {
    let mut server = TestRepository::new();
    server.publish(&[]);
    let (mut behind, mut ahead) = (server.client(Limits::default()), server.client(Limits::default()));
    assert!(server.refresh(&mut behind, NOW).is_ok());
    let old_files = server.files.clone();
    server.publish(&[]);
    assert!(server.refresh(&mut ahead, NOW).is_ok());
    assert_eq!(server.refresh(&mut behind, NOW), Ok(Progress::UpToDate));
    let rolled_back = TestRepository { files: old_files, ..server };
    assert_eq!(rolled_back.refresh(&mut ahead, NOW).unwrap_err().kind(), "rollback");
}

/// A client that read the timestamp of one release while the next one is being written still gets the whole
/// of the first: with consistent snapshots, new files don't replace old ones.
#[rstest]
fn a_partly_written_release_does_not_disturb_clients() {
    let mut server = TestRepository::new();
    server.publish(&[]);
    let before = server.files.clone();
    server.publish(&[]);
    let mut changed: Vec<&String> = server.files.keys().filter(|path| !before.contains_key(*path)).collect();
    changed.sort_by_key(|path| path.contains("snapshot"));
    for written in 0..=changed.len() {
        let mut files = before.clone();
        files.extend(changed[..written].iter().map(|path| ((*path).clone(), server.files[*path].clone())));
        let partly_written = TestRepository {
            files,
            key: SigningKey::from_seed([1; 32]),
            repository: server.repository.clone(),
        };
        let mut client = partly_written.client(Limits::default());
        assert_eq!(
            partly_written.refresh(&mut client, NOW),
            Ok(Progress::UpToDate),
            "{written} files written"
        );
        assert_eq!(client.trusted_roles()[1].1, Version(1));
    }
}

#[rstest]
#[case::not_terminating(false, true)]
#[case::terminating(true, false)]
fn delegations_are_searched_in_order_up_to_a_terminating_one(#[case] terminating: bool, #[case] found: bool) {
    let mut server = TestRepository::new();
    server.delegate("first", terminating, targets_with("packs/other", b"x"));
    server.delegate("second", false, targets_with("packs/a", b"y"));
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    let outcome = server.find(&mut client, "packs/a");
    assert_eq!(matches!(outcome, Ok(Progress::TargetFound { .. })), found, "{outcome:?}");
    assert_eq!(server.find(&mut client, "elsewhere").unwrap_err().kind(), "no_such_target");
}

#[rstest]
fn searches_end_despite_cycles_and_many_delegations() {
    let mut server = TestRepository::new();
    for n in 0..40 {
        server.delegate(&format!("role-{n}"), false, Targets::default());
    }
    // Each role also delegates to the first one, which makes a cycle.
    let delegations = server.repository.targets.delegations.clone().unwrap();
    let to_first = Delegations { roles: delegations.roles[..1].to_vec(), ..delegations };
    server.repository.delegated.values_mut().for_each(|t| t.delegations = Some(to_first.clone()));
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    assert_eq!(server.find(&mut client, "packs/none").unwrap_err().kind(), "too_many_delegations");
    let mut client = server.client(Limits { max_delegations: 100, ..Limits::default() });
    assert!(server.refresh(&mut client, NOW).is_ok());
    assert_eq!(server.find(&mut client, "packs/none").unwrap_err().kind(), "no_such_target");
}

/// A client that trusts a release with one target, and its repository.
fn client_of_a_release() -> (TestRepository, Client) {
    let mut server = TestRepository::new();
    server.repository.targets = targets_with("packs/a", b"x");
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    assert!(server.find(&mut client, "packs/a").is_ok());
    (server, client)
}

/// Guards against searches that pass without a timestamp, a snapshot or targets metadata: without them nothing
/// says that the target is current, and what is not there can't expire (review/3).
#[rstest]
#[case::timestamp(TIMESTAMP)]
#[case::snapshot(SNAPSHOT)]
#[case::targets(TARGETS)]
fn nothing_is_found_after_a_new_root_has_replaced_the_keys_of_a_role(
    #[case] role: &str, #[values(false, true)] restarted: bool,
) {
    let (mut server, mut client) = client_of_a_release();
    let new_key = SigningKey::from_seed([2; 32]);
    server.repository.rotate_keys(role, &[&new_key], 1).unwrap();
    server.publish_root(&[]);
    assert_eq!(server.refresh(&mut client, NOW).unwrap_err().kind(), "threshold");
    if restarted {
        let state = client.trusted_state();
        client =
            Client::resume(&state, VersionFloors::default(), Limits::default(), Planted::default()).unwrap();
    }
    assert_eq!(server.find(&mut client, "packs/a").unwrap_err().kind(), "missing");
    server.publish(&[&new_key]);
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    assert!(server.find(&mut client, "packs/a").is_ok());
}

/// Guards against searches in a snapshot or targets metadata that a newer file has replaced while its successor
/// is withheld.
#[rstest]
#[case::snapshot("2.snapshot.json")]
#[case::targets("2.targets.json")]
fn nothing_is_found_while_the_successor_of_a_file_is_withheld(#[case] withheld: &str) {
    let (mut server, mut client) = client_of_a_release();
    server.repository.targets = targets_with("packs/b", b"y");
    server.publish(&[]);
    let file = server.files.remove(withheld).unwrap();
    assert_eq!(server.refresh(&mut client, NOW).unwrap_err().kind(), "missing");
    assert_eq!(server.find(&mut client, "packs/a").unwrap_err().kind(), "missing");
    server.files.insert(withheld.to_string(), file);
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    assert_eq!(server.find(&mut client, "packs/a").unwrap_err().kind(), "no_such_target");
}

/// Guards against targets metadata of a delegated role that stays trusted after its parent has given the role
/// another key, because the snapshot lists the same version of it.
#[rstest]
#[case::new_file_is_served(true)]
#[case::new_file_is_withheld(false)]
fn delegated_role_goes_with_the_key_that_its_parent_listed(#[case] served: bool) {
    let mut server = TestRepository::new();
    server.delegate("role", false, targets_with("packs/a", b"signed by the old key"));
    server.publish(&[]);
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    assert!(server.find(&mut client, "packs/a").is_ok());
    let old_file = server.files["1.role.json"].clone();
    let new_key = SigningKey::from_seed([2; 32]);
    server.delegate_to(&new_key, "role", false, targets_with("packs/a", b"signed by the new key"));
    server.repository.versions.remove("role");
    server.publish(&[&new_key]);
    if !served {
        server.files.insert("1.role.json".into(), old_file);
    }
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    match server.find(&mut client, "packs/a") {
        Ok(Progress::TargetFound { target, .. }) => {
            assert_eq!(target, describe_target(b"signed by the new key"));
        }
        outcome => assert_eq!((outcome.unwrap_err().kind(), served), ("other_bytes", false)),
    }
}

/// Guards against a refresh that needs every file of a release again after one was missing: among pods of which
/// some lack the release, all of them seldom come in one refresh.
#[rstest]
fn refresh_goes_on_after_the_snapshot_that_is_trusted_already() {
    let (mut server, mut client) = client_of_a_release();
    server.repository.targets = targets_with("packs/b", b"y");
    server.publish(&[]);
    let targets = server.files.remove("2.targets.json").unwrap();
    assert_eq!(server.refresh(&mut client, NOW).unwrap_err().kind(), "missing");
    server.files.insert("2.targets.json".into(), targets);
    server.files.remove("2.snapshot.json").unwrap();
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    assert!(server.find(&mut client, "packs/b").is_ok());
}

/// Guards against stored targets metadata that is older than the stored snapshot and counts as up to date.
#[rstest]
fn stored_targets_that_the_stored_snapshot_does_not_list_are_fetched_again() {
    let (mut server, mut client) = client_of_a_release();
    let old_targets = client.trusted_state().targets;
    server.repository.targets = targets_with("packs/b", b"y");
    server.publish(&[]);
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    let state = TrustedState { targets: old_targets, ..client.trusted_state() };
    let mut client =
        Client::resume(&state, VersionFloors::default(), Limits::default(), Planted::default()).unwrap();
    assert_eq!(server.find(&mut client, "packs/a").unwrap_err().kind(), "missing");
    assert_eq!(server.refresh(&mut client, NOW), Ok(Progress::UpToDate));
    assert_eq!(server.find(&mut client, "packs/a").unwrap_err().kind(), "no_such_target");
}

fn delegation(key: &SigningKey, name: &str, paths: &str) -> Delegation {
    Delegation {
        name: RoleName(name.into()),
        keyids: vec![key.id().clone()],
        threshold: 1,
        terminating: false,
        paths: Some(vec![paths.into()]),
        path_hash_prefixes: None,
    }
}

/// `packs` lists `q/a` and `p/a`. The top role delegates q/* to it, signed by the repository's key, and p/* to
/// `venue`, which delegates p/* on to `packs` with `venue_key`.
fn role_of_two_parents(venue_key: &SigningKey) -> TestRepository {
    let mut server = TestRepository::new();
    let key = SigningKey::from_seed([1; 32]);
    let to_packs = Delegations {
        keys: [(venue_key.id().clone(), venue_key.public_key().clone())].into(),
        roles: vec![delegation(venue_key, "packs", "p/*")],
        succinct_roles: None,
    };
    let packs = ["q/a", "p/a"].map(|path| (path.to_string(), describe_target(b"x"))).into();
    let packs = Targets { targets: packs, delegations: None };
    let venue = Targets { delegations: Some(to_packs), ..Targets::default() };
    server.repository.add_delegation(delegation(&key, "packs", "q/*"), &[&key], packs);
    server.repository.add_delegation(delegation(&key, "venue", "p/*"), &[&key], venue);
    server.publish(&[]);
    server
}

/// Guards against review/8: a role to which two parents delegate with different keys was checked by those of the
/// parent through which it was first fetched, and then found through the other as well.
#[rstest]
#[case::fetched_through_the_other_parent_before(&["q/a", "p/a"])]
#[case::not_fetched_before(&["p/a"])]
#[case::asked_for_again(&["p/a", "q/a", "p/a", "p/a"])]
fn a_role_is_trusted_through_the_parents_only_whose_keys_have_signed(#[case] paths: &[&str]) {
    let server = role_of_two_parents(&SigningKey::from_seed([3; 32]));
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    for path in paths {
        let outcome = server.find(&mut client, path);
        if path.starts_with('q') {
            assert!(matches!(outcome, Ok(Progress::TargetFound { .. })), "{path}: {outcome:?}");
        } else {
            assert_eq!(outcome.unwrap_err().kind(), "threshold", "{path}");
        }
    }
}

/// A role that both parents' keys have signed is found through both, and fetched once.
#[rstest]
fn a_role_that_is_signed_for_two_parents_is_fetched_once() {
    let mut server = role_of_two_parents(&SigningKey::from_seed([1; 32]));
    let mut client = server.client(Limits::default());
    assert!(server.refresh(&mut client, NOW).is_ok());
    assert!(server.find(&mut client, "q/a").is_ok());
    server.files.remove("1.packs.json").unwrap();
    assert!(matches!(
        server.find(&mut client, "p/a"),
        Ok(Progress::TargetFound { parent, .. }) if parent.0 == "venue"
    ));
    let parents = client.parents_checked_for(&RoleName("packs".into()));
    assert_eq!(parents, [RoleName(TARGETS.into()), RoleName("venue".into())]);
}
