//! The script with three real processes, as CI runs it: paused with a vote half done, cut off, muted, ended,
//! a majority killed. `cargo test --workspace` has built the program by then.

use rstest::rstest;
use stagepond_lab::leadership::processes;

#[rstest]
fn three_processes_keep_to_one_leader_through_it_all() {
    let me = std::env::current_exe().unwrap();
    let program = me.parent().and_then(|deps| deps.parent()).unwrap().join("stagepond");
    assert!(program.exists(), "{} is not there: run the tests of the whole workspace", program.display());
    let seen = processes::prove(&program, 1).unwrap();
    assert_eq!(seen.broken, Vec::<String>::new());
    assert!(seen.released && seen.votes > 0 && seen.leaders >= 5 && seen.answered > 100, "{seen:?}");
}
