//! A short form of TUF's proof: every attack singly, some pairs, every planted fault; and the attacks on the
//! program itself. The long form is `make prove-tuf`.

use rstest::rstest;
use stagepond_lab::tuf::{proof, sockets};
use stagepond_tuf::planted::Fault;

#[rstest]
fn every_attack_is_refused_for_its_reason_and_good_packs_pass() {
    let sum = proof::run(7, 30);
    assert_eq!((sum.passed, sum.other_reason), (Vec::<String>::new(), Vec::<String>::new()));
    assert_eq!((sum.refused, sum.good_passed, sum.pairs_refused), (sum.attacks, sum.good, sum.pairs));
    assert!(sum.attacks > 100 && sum.pairs > 40);
}

#[rstest]
fn every_planted_fault_is_found() {
    for fault in Fault::ALL {
        assert!(proof::find(fault, 7).is_some(), "{fault:?}");
    }
}

#[rstest]
fn the_program_refuses_them_on_sockets() {
    let me = std::env::current_exe().unwrap();
    let program = me.parent().and_then(|deps| deps.parent()).unwrap().join("stagepond");
    assert!(program.exists(), "{} is not there: run the tests of the whole workspace", program.display());
    let seen = sockets::prove(&program, 7).unwrap();
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert!(
        seen.good_passed && seen.control_passed && seen.attacks > 40 && seen.refused == seen.attacks,
        "{seen:?}"
    );
}
