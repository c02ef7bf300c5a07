//! The script with three real processes, as CI runs it: a leader paused in the middle of a vote, partitioned,
//! cut off in one direction and stopped, then a majority killed. `cargo test --workspace` builds the program
//! first.

use rstest::rstest;
use stagepond_lab::leadership::processes;

#[rstest]
fn three_processes_keep_to_one_leader_through_all_faults() {
    let test_binary = std::env::current_exe().unwrap();
    let program = test_binary.parent().and_then(|deps| deps.parent()).unwrap().join("stagepond");
    assert!(program.exists(), "{} does not exist: run the tests of the whole workspace", program.display());
    let report = processes::prove(&program, 1).unwrap();
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(
        report.released && report.votes > 0 && report.leaders >= 5 && report.answered > 100,
        "{report:?}"
    );
}
