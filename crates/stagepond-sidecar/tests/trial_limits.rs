//! Tests of the limits on trials: what is read from a committed state that replaced the earlier one.

use rstest::rstest;
use stagepond::host::*;
use stagepond_leadership::ids::{Number, Seat, Term};
use stagepond_leadership::log::{Command, Entry, Snapshot};
use stagepond_sidecar::messages::RolloutStatus;
use stagepond_sidecar::trial_limits::TrialLimits;

const BUILD: Build = Build(2);

fn freeze(frozen: bool) -> Command {
    Command::Freeze { build: BUILD.0, frozen }
}

fn trial(cap: f64) -> RolloutStatus {
    RolloutStatus { build: BUILD, stage: 1, phase: Phase::Trial, cap, age: Tenths(0) }
}

fn committed(commands: &[Command]) -> Snapshot {
    let entry = |(number, command): (u64, &Command)| {
        let subject = command.subject().unwrap();
        (subject, Entry { term: Term(1), number: Number(number), leader: Seat(0), command: command.clone() })
    };
    Snapshot { subjects: (1..).zip(commands).map(entry).collect(), ..Snapshot::default() }
}

/// Guards against a freeze that outlives a bootstrap by which all who remember it are gone: its build stayed
/// frozen outside the pool for ever, since nobody lifts what the new era's log does not have.
#[rstest]
#[case::lifted_meanwhile(&[freeze(false)], false)]
#[case::not_in_the_era(&[], false)]
#[case::still_in_force(&[freeze(true)], true)]
fn a_committed_state_replaces_the_freezes_of_the_one_before(
    #[case] commands: &[Command], #[case] frozen: bool,
) {
    let mut limits = TrialLimits::new(false, &committed(&[]));
    limits.limit(trial(0.1));
    limits.apply(&freeze(true));
    limits.read(&committed(commands));
    assert_eq!(
        (limits.is_frozen(BUILD), limits.limit(trial(0.4)).cap),
        (frozen, if frozen { 0.1 } else { 0.4 })
    );
}

#[rstest]
fn a_frozen_build_that_is_not_on_trial_gets_no_share() {
    let mut limits = TrialLimits::new(false, &committed(&[freeze(true)]));
    let other = RolloutStatus { build: Build(1), ..trial(0.4) };
    limits.on_platform_status(other);
    limits.limit(other);
    limits.on_platform_status(trial(0.1));
    assert_eq!(limits.limit(trial(0.1)).cap, 0.0);
}
