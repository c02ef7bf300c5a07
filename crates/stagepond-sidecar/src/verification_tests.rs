//! Tests of verified operations on a reducer without sockets: pods that serve outdated, damaged or unsigned
//! targets, metadata that expires, and a repository that is unreachable or rolled back.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::Method;
use rstest::rstest;
use stagepond::host::*;
use stagepond_tuf::client::{TrustedState, VersionFloors};
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::*;
use stagepond_tuf::repository::{sign_metadata, ExpiryPeriods, MetadataFile, Repository};
use stagepond_tuf::target::describe_target;

use crate::messages::*;
use crate::reducer_tests::{pod_entry, test_facts, ReducerHarness, START_TIME};
use crate::verification::{ExpiredMetadataPolicy, ResponseVerifier, VerificationConfig};

const TARGET_NAME: &str = "round-7.tgz";
const TARGET_PREFIX: &str = "/round-pack/";
const METADATA_PREFIX: &str = "/round-pack/metadata/";
/// The signed contents of the target.
const GOOD: &str = "the good pack";
/// A role that lists the target in some tests.
const DELEGATED_ROLE: &str = "evening-packs";
/// Other contents of the same length.
const OLD: &str = "the old pack!";
const HOUR_SECONDS: i64 = 3600;

fn hours(hours: i64) -> Tenths {
    Tenths::ms(hours * HOUR_SECONDS * 1000)
}

fn to_seconds(at: Tenths) -> UnixSeconds {
    UnixSeconds(at.0 / 10_000)
}

/// A repository whose roles are all signed by one key, and the metadata files that pods serve from it.
struct TestRepository {
    signing_key: SigningKey,
    repository: Repository,
    files: BTreeMap<String, Vec<u8>>,
}

impl TestRepository {
    fn new() -> TestRepository {
        let signing_key = SigningKey::from_seed([9; 32]);
        let keys = || (vec![&signing_key], 1);
        let roles = [ROOT, TARGETS, SNAPSHOT, TIMESTAMP].map(|role| (role.to_string(), keys())).into();
        let expiry_periods = ExpiryPeriods {
            root: 900 * HOUR_SECONDS,
            targets: 900 * HOUR_SECONDS,
            snapshot: 48 * HOUR_SECONDS,
            timestamp: 24 * HOUR_SECONDS,
        };
        let mut repository = Repository::new(&roles, expiry_periods).unwrap();
        let root = repository.publish_root(&[&signing_key], to_seconds(START_TIME)).unwrap();
        TestRepository { files: [(root.path, root.bytes)].into(), signing_key, repository }
    }

    /// A repository with the good target published at the start.
    fn with_good_target() -> TestRepository {
        let mut repository = TestRepository::new();
        repository.publish_target(GOOD, START_TIME);
        repository
    }

    fn publish_target(&mut self, contents: &str, at: Tenths) {
        self.repository.targets.targets.insert(TARGET_NAME.into(), describe_target(contents.as_bytes()));
        self.publish(at);
    }

    /// A repository in which a delegated role lists the good target. The role's file ends after this time, long
    /// before the top-level files.
    fn with_delegated_target(valid_for: Tenths) -> TestRepository {
        let mut repository = TestRepository::new();
        let targets = Targets {
            targets: [(TARGET_NAME.to_string(), describe_target(GOOD.as_bytes()))].into(),
            delegations: None,
        };
        let delegation = Delegation {
            name: RoleName(DELEGATED_ROLE.into()),
            keyids: vec![repository.signing_key.id().clone()],
            threshold: 1,
            terminating: false,
            paths: Some(vec!["*".into()]),
            path_hash_prefixes: None,
        };
        let key = SigningKey::from_seed([9; 32]);
        repository.repository.add_delegation(delegation, &[&key], targets.clone());
        repository.publish(START_TIME);
        let delegated = repository.replace_first_version(DELEGATED_ROLE, &targets, START_TIME + valid_for);
        let mut snapshot = Snapshot { meta: BTreeMap::new() };
        snapshot
            .meta
            .insert("targets.json".into(), describe_first_version(&repository.files["1.targets.json"]));
        snapshot.meta.insert(format!("{DELEGATED_ROLE}.json"), describe_first_version(&delegated));
        let snapshot = repository.replace_first_version(SNAPSHOT, &snapshot, START_TIME + hours(48));
        let meta = [("snapshot.json".to_string(), describe_first_version(&snapshot))].into();
        repository.replace_first_version(TIMESTAMP, &Timestamp { meta }, START_TIME + hours(24));
        repository
    }

    /// Signs other contents for version 1 of a role and returns the bytes of the file.
    fn replace_first_version(
        &mut self, role: &str, contents: &impl MetadataType, expires: Tenths,
    ) -> Vec<u8> {
        let signed = signed_portion(contents, Version(1), to_seconds(expires)).unwrap();
        let bytes = sign_metadata(&signed, &[&self.signing_key]).unwrap();
        let path = if role == TIMESTAMP { "timestamp.json".into() } else { format!("1.{role}.json") };
        self.files.insert(path, bytes.clone());
        bytes
    }

    fn publish(&mut self, at: Tenths) {
        self.publish_signed(&[], at);
    }

    /// Publishes a release that further keys sign too.
    fn publish_signed(&mut self, additional_keys: &[&SigningKey], at: Tenths) {
        let keys: Vec<_> = [&self.signing_key].into_iter().chain(additional_keys.iter().copied()).collect();
        let published = self.repository.publish(&keys, to_seconds(at)).unwrap();
        self.files.extend(published.into_iter().map(|MetadataFile { path, bytes }| (path, bytes)));
    }
}

/// The entry of a file of version 1 in the metadata that lists it.
fn describe_first_version(bytes: &[u8]) -> FileDescription {
    let described = describe_target(bytes);
    FileDescription { version: Version(1), length: Some(described.length), hashes: described.hashes }
}

/// Key that replaces the one of a role.
fn replacement_key() -> SigningKey {
    SigningKey::from_seed([8; 32])
}

/// A reducer with verification, and the pods that answer its dispatches.
struct Harness {
    reducer: ReducerHarness,
    repository: TestRepository,
    /// What each pod answers for the target.
    pod_answers: Vec<Vec<u8>>,
    /// Whether every fetch of a metadata file fails.
    metadata_unreachable: bool,
    metadata_fetches: usize,
    /// The trusted metadata that the reducer last asked to store.
    stored_state: Option<TrustedState>,
    answers: Vec<(InvocationNumber, FinalAnswer)>,
    last_number: u64,
}

impl Harness {
    /// Starts a reducer with one pod for each of the answers and lets it fetch the metadata.
    fn start(
        pod_answers: &[&str], expired_policy: ExpiredMetadataPolicy, stored_state: Option<TrustedState>,
        repository: TestRepository,
    ) -> Harness {
        let config = VerificationConfig {
            operation: Op(0),
            target_prefix: TARGET_PREFIX.to_string(),
            metadata_prefix: METADATA_PREFIX.to_string(),
            root: repository.files["1.root.json"].clone(),
            stored_state,
            refresh_interval: Tenths::ms(60_000),
            expired_policy,
            floors: VersionFloors::default(),
        };
        let pods = (1..=pod_answers.len() as u16).map(|pod| pod_entry(pod, 1)).collect();
        let verifier = ResponseVerifier::new(START_TIME, config, 1).unwrap();
        let mut harness = Harness {
            reducer: ReducerHarness::with_parts(test_facts(), pods, None, Some(verifier)),
            repository,
            pod_answers: pod_answers.iter().map(|answer| answer.as_bytes().to_vec()).collect(),
            metadata_unreachable: false,
            metadata_fetches: 0,
            stored_state: None,
            answers: Vec::new(),
            last_number: 0,
        };
        harness.advance(Tenths::ms(1000));
        harness
    }

    fn with_good_target(pod_answers: &[&str]) -> Harness {
        let repository = TestRepository::with_good_target();
        Harness::start(pod_answers, ExpiredMetadataPolicy::Refuse, None, repository)
    }

    /// Publishes a root that gives a role another key, without a release, and waits until it is trusted.
    fn replace_key(&mut self, role: &str) {
        let TestRepository { signing_key, repository, files } = &mut self.repository;
        repository.rotate_keys(role, &[&replacement_key()], 1).unwrap();
        let root = repository.publish_root(&[signing_key], to_seconds(self.reducer.now)).unwrap();
        files.insert(root.path, root.bytes);
        self.advance(Tenths::ms(90_000));
    }

    /// Answers dispatches until no effect leads to another.
    fn handle_effects(&mut self, effects: Vec<Effect>) {
        let mut pending = effects;
        while !pending.is_empty() {
            let mut next = Vec::new();
            for effect in pending {
                match effect {
                    Effect::Dispatch { id, request, to, .. } => {
                        let outcome = self.answer_as_pod(&request, to.port() - 1000);
                        next.extend(self.reducer.apply(Input::DispatchEnded(id, outcome)));
                    }
                    Effect::Answer(number, answer) => self.answers.push((number, answer)),
                    Effect::PersistTrustedMetadata(state) => self.stored_state = Some(state),
                    _ => {}
                }
            }
            pending = next;
        }
    }

    fn answer_as_pod(&mut self, request: &ForwardedRequest, pod: u16) -> DispatchOutcome {
        let ended_at = self.reducer.now;
        let metadata_name = request.target.path().strip_prefix(METADATA_PREFIX);
        let body = match metadata_name {
            Some(name) => {
                self.metadata_fetches += 1;
                self.repository.files.get(name).cloned()
            }
            None => Some(self.pod_answers[usize::from(pod) - 1].clone()),
        };
        let failed = metadata_name.is_some() && self.metadata_unreachable;
        let ending = if body.is_some() && !failed { Ending::Succeeded } else { Ending::Error };
        let not_found = body.is_none() && !failed;
        let response =
            ForwardedResponse { body: body.unwrap_or_default().into(), ..ForwardedResponse::default() };
        DispatchOutcome { ending, ended_at, in_flight: None, response, not_found }
    }

    fn advance(&mut self, time: Tenths) {
        let until = self.reducer.now + time;
        while self.reducer.now < until {
            let due = self.reducer.reducer.next_due().max(self.reducer.now + Tenths(1));
            self.reducer.now = due.min(until);
            let effects = self.reducer.apply(Input::Tick);
            self.handle_effects(effects);
        }
    }

    /// Sends an invocation for the target and returns its only final answer.
    fn request_target(&mut self) -> FinalAnswer {
        let effects = self.send_invocation();
        self.handle_effects(effects);
        self.wait_for_answer()
    }

    /// Sends an invocation for the target; its dispatch is left to the caller.
    fn send_invocation(&mut self) -> Vec<Effect> {
        self.last_number += 1;
        let number = InvocationNumber(self.last_number);
        let request_id = RequestId(format!("{}", self.last_number).into());
        let target = format!("{TARGET_PREFIX}{TARGET_NAME}").parse().unwrap();
        let request = ForwardedRequest {
            method: Method::GET,
            target,
            headers: Default::default(),
            body: Default::default(),
        };
        let deadline = self.reducer.now + Tenths::ms(2000);
        self.reducer.apply(Input::InvocationReceived {
            number,
            request_id,
            request: Arc::new(request),
            op: Op(0),
            deadline,
        })
    }

    /// The only final answer to the last invocation.
    fn wait_for_answer(&mut self) -> FinalAnswer {
        self.advance(Tenths::ms(2100));
        let number = InvocationNumber(self.last_number);
        let mut answers = self.answers.iter().filter(|(answered, _)| *answered == number);
        let answer = answers.next().expect("a final answer").1.clone();
        assert!(answers.next().is_none(), "more than one final answer");
        answer
    }
}

fn is_good(answer: &FinalAnswer) -> bool {
    matches!(answer, FinalAnswer::Succeeded(response) if &response.body[..] == GOOD.as_bytes())
}

fn failed_check(answer: &FinalAnswer) -> Option<&'static str> {
    match answer {
        FinalAnswer::Unverified { failed_check, .. } => Some(failed_check),
        _ => None,
    }
}

#[rstest]
fn a_signed_target_passes_and_the_trusted_metadata_is_stored() {
    let mut harness = Harness::with_good_target(&[GOOD]);
    assert!(is_good(&harness.request_target()));
    assert!(harness.stored_state.is_some(), "the trusted metadata must be stored");
}

#[rstest]
#[case::other_bytes(OLD, "target_hash")]
#[case::longer("the good pack, and more", "target_longer")]
#[case::shorter("the good", "target_shorter")]
fn a_pod_with_other_contents_is_replaced_by_a_good_one(#[case] contents: &str, #[case] check: &'static str) {
    let mut harness = Harness::with_good_target(&[contents, GOOD, GOOD]);
    for _ in 0..12 {
        assert!(is_good(&harness.request_target()));
    }
    let mut harness = Harness::with_good_target(&[contents, contents]);
    assert_eq!(failed_check(&harness.request_target()), Some(check));
}

#[rstest]
fn a_target_that_is_no_longer_signed_is_refused() {
    let mut harness = Harness::with_good_target(&[GOOD]);
    harness.repository.repository.targets.targets.clear();
    harness.repository.publish(harness.reducer.now);
    harness.advance(Tenths::ms(90_000));
    assert_eq!(failed_check(&harness.request_target()), Some("no_such_target"));
}

#[rstest]
#[case::refuse(ExpiredMetadataPolicy::Refuse, 0, false)]
#[case::within_the_grace_period(ExpiredMetadataPolicy::UseFor(hours(2)), 0, true)]
#[case::after_the_grace_period(ExpiredMetadataPolicy::UseFor(hours(2)), 3 * HOUR_SECONDS, false)]
fn expired_metadata_is_used_only_within_the_grace_period(
    #[case] policy: ExpiredMetadataPolicy, #[case] later_seconds: i64, #[case] passes: bool,
) {
    let mut repository = TestRepository::new();
    let published_at = START_TIME - Tenths::ms(23 * HOUR_SECONDS * 1000 + 1_800_000);
    repository.publish_target(GOOD, published_at);
    let mut harness = Harness::start(&[GOOD], policy, None, repository);
    assert!(is_good(&harness.request_target()), "the metadata is valid for another half hour");
    harness.metadata_unreachable = true;
    harness.advance(Tenths::ms((HOUR_SECONDS + later_seconds) * 1000));
    let answer = harness.request_target();
    assert_eq!(is_good(&answer), passes, "{answer:?}");
    if !passes {
        assert_eq!(failed_check(&answer), Some("expired"));
    }
}

/// Without backoff, an hour of unreachable metadata would cause a flood of fetches. What is trusted stays in
/// use, and the next refresh that succeeds brings the new target.
#[rstest]
fn refreshes_that_fail_for_an_hour_cause_a_bounded_number_of_fetches() {
    let mut harness = Harness::with_good_target(&[GOOD]);
    harness.metadata_unreachable = true;
    let before = harness.metadata_fetches;
    harness.advance(hours(1));
    let fetches = harness.metadata_fetches - before;
    // A refresh every minute or slightly sooner, which asks two pods each for the next root and the
    // timestamp.
    assert!((30..400).contains(&fetches), "{fetches}");
    assert!(is_good(&harness.request_target()));
    harness.metadata_unreachable = false;
    let next = "the next pack";
    harness.repository.publish_target(next, harness.reducer.now);
    harness.pod_answers = vec![next.as_bytes().to_vec()];
    harness.advance(Tenths::ms(120_000));
    assert!(matches!(harness.request_target(), FinalAnswer::Succeeded(_)));
}

/// Guards against pods that go back to an older release whose files are all properly signed, also after a
/// restart with the stored metadata.
#[rstest]
#[case::running(false)]
#[case::restarted(true)]
fn a_rollback_of_the_repository_is_refused(#[case] restarted: bool) {
    let mut repository = TestRepository::new();
    repository.publish_target(OLD, START_TIME);
    let old_files = repository.files.clone();
    repository.publish_target(GOOD, START_TIME);
    let mut harness = Harness::start(&[GOOD], ExpiredMetadataPolicy::Refuse, None, repository);
    assert!(is_good(&harness.request_target()));
    let stored_state = harness.stored_state.clone();
    let mut repository = harness.repository;
    repository.files = old_files;
    let mut harness = if restarted {
        Harness::start(&[OLD], ExpiredMetadataPolicy::Refuse, stored_state, repository)
    } else {
        Harness { repository, pod_answers: vec![OLD.as_bytes().to_vec()], ..harness }
    };
    harness.advance(Tenths::ms(120_000));
    assert_eq!(failed_check(&harness.request_target()), Some("target_hash"));
}

/// Without metadata no answer can be checked: the invocation ends by its time limit and must not succeed.
#[rstest]
fn no_answer_passes_before_the_metadata_arrives() {
    let repository = TestRepository::with_good_target();
    let root = repository.files["1.root.json"].clone();
    let files = [("1.root.json".to_string(), root)].into();
    let repository = TestRepository { files, ..repository };
    let mut harness = Harness::start(&[GOOD], ExpiredMetadataPolicy::Refuse, None, repository);
    assert!(!matches!(harness.request_target(), FinalAnswer::Succeeded(_)));
}

/// Guards against a cached target that passes for ever once a new root has dropped the files by which it was
/// found (review/3): nothing that is gone can expire, and only a refresh that succeeded emptied the cache.
#[rstest]
fn target_is_refused_once_a_new_root_has_dropped_what_it_was_found_by(
    #[values(TIMESTAMP, SNAPSHOT, TARGETS)] role: &str,
    #[values(ExpiredMetadataPolicy::Refuse, ExpiredMetadataPolicy::UseFor(hours(2)))]
    policy: ExpiredMetadataPolicy,
    #[values(false, true)] asked_before: bool,
) {
    let mut harness = Harness::start(&[GOOD], policy, None, TestRepository::with_good_target());
    if asked_before {
        assert!(is_good(&harness.request_target()));
    }
    harness.replace_key(role);
    assert_eq!(failed_check(&harness.request_target()), Some("missing"));
    let now = harness.reducer.now;
    harness.repository.publish_signed(&[&replacement_key()], now);
    harness.advance(Tenths::ms(90_000));
    assert!(is_good(&harness.request_target()));
}

/// Guards against a cached target that outlives the files by which it was found, because the refresh that
/// replaced some of them was cut short.
#[rstest]
#[case::snapshot_withheld("2.snapshot.json")]
#[case::targets_withheld("2.targets.json")]
fn target_is_refused_while_a_newer_release_is_known_in_part(#[case] withheld: &str) {
    let mut harness = Harness::with_good_target(&[GOOD]);
    assert!(is_good(&harness.request_target()));
    harness.repository.repository.targets.targets.clear();
    harness.repository.publish(harness.reducer.now);
    let file = harness.repository.files.remove(withheld).unwrap();
    harness.advance(Tenths::ms(90_000));
    assert_eq!(failed_check(&harness.request_target()), Some("missing"));
    harness.repository.files.insert(withheld.to_string(), file);
    harness.advance(Tenths::ms(90_000));
    assert_eq!(failed_check(&harness.request_target()), Some("no_such_target"));
}

/// Guards against a cached target that outlives the delegated role that lists it: only the ends of the top-level
/// files were looked at.
#[rstest]
#[case::refuse(ExpiredMetadataPolicy::Refuse, hours(2), Some("expired"))]
#[case::within_the_grace_period(ExpiredMetadataPolicy::UseFor(hours(2)), hours(2), None)]
#[case::after_the_grace_period(ExpiredMetadataPolicy::UseFor(hours(2)), hours(4), Some("expired"))]
fn target_is_refused_after_the_end_of_the_delegated_role_that_lists_it(
    #[case] policy: ExpiredMetadataPolicy, #[case] after: Tenths, #[case] check: Option<&'static str>,
) {
    let repository = TestRepository::with_delegated_target(hours(1));
    let mut harness = Harness::start(&[GOOD], policy, None, repository);
    assert!(is_good(&harness.request_target()));
    harness.advance(after);
    assert_eq!(failed_check(&harness.request_target()), check);
}

/// Guards against a response that is checked after the end of the metadata, but before anything else has
/// happened since: the cache was emptied only after the check.
#[rstest]
fn response_is_judged_by_the_time_of_its_check() {
    let mut repository = TestRepository::new();
    repository.publish_target(GOOD, START_TIME - hours(24) + Tenths::ms(5000));
    let mut harness = Harness::start(&[GOOD], ExpiredMetadataPolicy::Refuse, None, repository);
    assert!(is_good(&harness.request_target()));
    let effects = harness.send_invocation();
    let dispatched = effects.into_iter().find_map(|effect| match effect {
        Effect::Dispatch { id, request, to, .. } => Some((id, request, to)),
        _ => None,
    });
    let (id, request, to) = dispatched.expect("a dispatch");
    harness.reducer.now = START_TIME + Tenths::ms(5000);
    let outcome = harness.answer_as_pod(&request, to.port() - 1000);
    let effects = harness.reducer.apply(Input::DispatchEnded(id, outcome));
    harness.handle_effects(effects);
    assert_eq!(failed_check(&harness.wait_for_answer()), Some("expired"));
}

/// Guards against a restart that brings back what a new root has dropped: the state was stored only by a
/// refresh that succeeded as a whole, which needs the next release.
#[rstest]
fn what_a_new_root_has_dropped_stays_dropped_after_a_restart(
    #[values(TIMESTAMP, SNAPSHOT, TARGETS)] role: &str,
    #[values(ExpiredMetadataPolicy::Refuse, ExpiredMetadataPolicy::UseFor(hours(2)))]
    policy: ExpiredMetadataPolicy,
) {
    let mut harness = Harness::with_good_target(&[GOOD]);
    assert!(is_good(&harness.request_target()));
    harness.replace_key(role);
    let mut repository = harness.repository;
    repository.files.remove("2.root.json").expect("the new root");
    let mut restarted = Harness::start(&[GOOD], policy, harness.stored_state, repository);
    assert_eq!(failed_check(&restarted.request_target()), Some("missing"));
}

/// A state that holds nothing but the configured root would outlast the correction of a wrong one.
#[rstest]
fn nothing_is_stored_before_any_metadata_is_trusted() {
    let repository = TestRepository::with_good_target();
    let root = repository.files["1.root.json"].clone();
    let repository = TestRepository { files: [("1.root.json".to_string(), root)].into(), ..repository };
    let harness = Harness::start(&[GOOD], ExpiredMetadataPolicy::Refuse, None, repository);
    assert!(harness.stored_state.is_none());
}
