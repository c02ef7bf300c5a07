//! Tests of what the verification of responses reports to the log.

use rstest::rstest;
use stagepond::host::{Op, Tenths};
use stagepond_sidecar::verification::*;
use stagepond_tuf::client::VersionFloors;
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::{UnixSeconds, ROOT, SNAPSHOT, TARGETS, TIMESTAMP};
use stagepond_tuf::repository::{ExpiryPeriods, Repository};

const NOW: Tenths = Tenths::ms(1_790_000_000_000);
const NAMES: usize = 1000;

/// A verifier whose first refresh has failed, so that each search fails for lack of metadata.
fn verifier_without_metadata() -> ResponseVerifier {
    let key = SigningKey::from_seed([1; 32]);
    let roles = [ROOT, TARGETS, SNAPSHOT, TIMESTAMP].map(|role| (role.to_string(), (vec![&key], 1))).into();
    let mut repository = Repository::new(&roles, ExpiryPeriods::default()).unwrap();
    let root = repository.publish_root(&[&key], UnixSeconds(NOW.0 / 10_000)).unwrap().bytes;
    let config = VerificationConfig {
        operation: Op(0),
        target_prefix: "/packs/".into(),
        metadata_prefix: "/packs/metadata/".into(),
        root,
        stored_state: None,
        refresh_interval: Tenths::ms(60_000),
        expired_policy: ExpiredMetadataPolicy::Refuse,
        floors: VersionFloors::default(),
    };
    let mut verifier = ResponseVerifier::new(NOW, config, 1).unwrap();
    let mut requested = verifier.next_fetch(NOW);
    while requested.is_some() {
        requested = verifier.on_fetch_result(NOW, None);
    }
    verifier.events.clear();
    verifier
}

/// The `left_out` of each refusal that was reported.
fn reported(verifier: &mut ResponseVerifier) -> Vec<u64> {
    let left_out = |event| match event {
        VerificationEvent::MetadataRefused { left_out, .. } => Some(left_out),
        _ => None,
    };
    verifier.events.drain(..).filter_map(left_out).collect()
}

/// Guards against a log that grows with each new name that a client asks for: 2 MB a second.
#[rstest]
fn searches_for_ever_new_names_are_reported_at_most_once_a_second() {
    let mut verifier = verifier_without_metadata();
    for number in 0..NAMES {
        verifier.request_target(NOW, &format!("new-{number}"));
        assert_eq!(verifier.next_fetch(NOW), None);
    }
    assert_eq!(reported(&mut verifier), [0]);
    // The next report, here of a refresh, says how many were left out.
    let later = NOW + Tenths::ms(1000);
    assert!(verifier.next_fetch(later).is_some());
    while verifier.on_fetch_result(later, None).is_some() {}
    assert_eq!(reported(&mut verifier), [NAMES as u64 - 1]);
}
