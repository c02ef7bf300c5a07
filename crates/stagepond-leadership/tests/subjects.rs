//! Tests of what the replicated log keeps of its subjects, and which are removed when there are too many.

use rstest::rstest;
use stagepond_leadership::ids::{Seat, Term};
use stagepond_leadership::log::{Command, Log, Subject, VoteChoice, MAX_SUBJECTS};

/// So many of the latest commands a leader must hold, whatever else is kept; the laboratory checks the same.
const LATEST_KEPT: u16 = 32;

fn commit(log: &mut Log, command: Command) {
    let number = log.append(Term(1), Seat(0), command);
    log.commit_up_to(number);
}

/// Guards against a freeze that later commands push out of the committed state: who started from a state file
/// or a snapshot after that did not know of it.
#[rstest]
fn a_freeze_in_force_outlives_any_number_of_later_votes() {
    let mut log = Log::default();
    commit(&mut log, Command::Freeze { build: 60, frozen: true });
    for build in 0..2 * MAX_SUBJECTS as u16 {
        commit(&mut log, Command::Vote { build, stage: 0, voice: VoteChoice::On });
    }
    let subjects = &log.committed().subjects;
    assert_eq!(subjects.len(), MAX_SUBJECTS);
    assert!(subjects.contains_key(&Subject::Freeze { build: 60 }));
}

/// Many freezes take no places from the latest commands on other subjects.
#[rstest]
fn the_latest_commands_are_kept_beside_any_number_of_freezes() {
    let mut log = Log::default();
    for build in 0..2 * MAX_SUBJECTS as u16 {
        commit(&mut log, Command::Freeze { build, frozen: true });
    }
    for build in 0..MAX_SUBJECTS as u16 {
        commit(&mut log, Command::Vote { build, stage: 0, voice: VoteChoice::On });
        let earliest = (build + 1).saturating_sub(LATEST_KEPT);
        let has_vote = |build: u16| log.committed().subjects.contains_key(&Subject::Vote { build, stage: 0 });
        assert!((earliest..=build).all(has_vote), "after the vote on {build}");
        assert_eq!(log.committed().subjects.len(), MAX_SUBJECTS);
    }
}

#[rstest]
fn a_lifted_freeze_makes_room() {
    let mut log = Log::default();
    commit(&mut log, Command::Freeze { build: 0, frozen: true });
    commit(&mut log, Command::Freeze { build: 0, frozen: false });
    for build in 0..MAX_SUBJECTS as u16 {
        commit(&mut log, Command::Vote { build, stage: 0, voice: VoteChoice::On });
    }
    assert!(!log.committed().subjects.contains_key(&Subject::Freeze { build: 0 }));
}
