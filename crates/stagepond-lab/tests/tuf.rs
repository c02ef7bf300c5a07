//! A short run of the TUF proof: every attack singly, some pairs, every planted fault, and the attacks on the
//! program itself. `make prove-tuf` runs the full proof.

use rstest::rstest;
use stagepond_lab::tuf::{proof, sockets};
use stagepond_tuf::planted::Fault;

const SEED: u64 = 7;

#[rstest]
fn attacks_fail_with_the_expected_error_and_honest_fetches_pass() {
    let summary = proof::run_attacks(SEED, 30);
    assert_eq!((summary.accepted, summary.unexpected_errors), (Vec::<String>::new(), Vec::<String>::new()));
    assert_eq!(
        (summary.refused, summary.honest_fetches_passed, summary.pairs_refused),
        (summary.attacks, summary.honest_fetches, summary.pairs)
    );
    assert!(summary.attacks > 100 && summary.pairs > 40);
}

#[rstest]
fn every_planted_fault_is_found() {
    for fault in Fault::ALL {
        assert!(proof::find_planted(fault, SEED).is_some(), "{fault:?}");
    }
}

#[rstest]
fn the_program_refuses_attacks_on_sockets() {
    let test_binary = std::env::current_exe().unwrap();
    let program = test_binary.parent().and_then(|deps| deps.parent()).unwrap().join("stagepond");
    assert!(program.exists(), "{} does not exist: run `cargo test --workspace`", program.display());
    let report = sockets::prove(&program, SEED).unwrap();
    assert_eq!(report.failures, Vec::<String>::new());
    assert!(
        report.honest_passed
            && report.passed_unverified
            && report.attacks > 40
            && report.refused == report.attacks,
        "{report:?}"
    );
}

/// A refusal that names no kind was taken for trust.
#[rstest]
fn a_refusal_without_a_kind_is_a_refusal() {
    use stagepond_lab::tuf::sockets::refresh_outcome;
    let line = |text: &str| serde_json::from_str(text).unwrap();
    assert_eq!(refresh_outcome(&line(r#"{"event":"trusted"}"#)), Some(None));
    assert!(refresh_outcome(&line(r#"{"event":"metadata_refused"}"#)).flatten().is_some());
    assert_eq!(refresh_outcome(&line(r#"{"event":"arrived"}"#)), None);
}
