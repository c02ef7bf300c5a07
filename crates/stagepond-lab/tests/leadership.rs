//! Leadership in the simulation: single faults, each with its expected outcome, seeds that once violated an
//! invariant, and a short form of the proof. The long form is `make prove-leadership`.

use std::collections::BTreeSet;

use rstest::rstest;
use stagepond_lab::faults::{Fault, ScheduledFault};
use stagepond_lab::leadership::invariants::{InvariantChecker, Violation};
use stagepond_lab::leadership::proof;
use stagepond_lab::leadership::simulation::{Outcome, Simulation, SimulationConfig};
use stagepond_leadership::ids::{Seat, Tenths};
use stagepond_leadership::planted::Fault as PlantedFault;

const fn ms(ms: i64) -> Tenths {
    Tenths::ms(ms)
}

fn config(seats: u16, durable: bool, fault_schedule: Vec<ScheduledFault>) -> SimulationConfig {
    let settings = proof::settings(seats, durable);
    SimulationConfig { fault_schedule, end: ms(40_000), ..SimulationConfig::without_faults(7, settings) }
}

fn at(at: i64, fault: Fault) -> ScheduledFault {
    ScheduledFault { at: ms(at), fault }
}

/// The seat that holds the lease after 4 s without faults.
fn first_leader(config: &SimulationConfig) -> Seat {
    let mut simulation = Simulation::new(SimulationConfig { fault_schedule: Vec::new(), ..config.clone() });
    simulation.run_until(ms(4000));
    simulation.lease_holders().first().expect("a group without faults has a leader").0
}

/// Runs the faults that `schedule` gives for the first leader, and checks that no invariant is violated.
fn run_with_faults(
    seats: u16, durable: bool, schedule: impl Fn(Seat) -> Vec<ScheduledFault>,
) -> (Seat, Outcome) {
    let quiet = config(seats, durable, Vec::new());
    let leader = first_leader(&quiet);
    let outcome = Simulation::new(SimulationConfig { fault_schedule: schedule(leader), ..quiet }).run();
    assert_eq!(outcome.broken, [], "{outcome:?}");
    (leader, outcome)
}

fn others(leader: Seat, seats: u16) -> Vec<Seat> {
    (0..seats).map(Seat).filter(|s| *s != leader).collect()
}

#[rstest]
#[case::leader_paused_beyond_its_lease(3, |l: Seat| vec![at(5000, Fault::Pause { seat: l, lasts: ms(6000) })])]
#[case::leader_partitioned_with_a_minority(5, |l: Seat| vec![at(5000, Fault::Zone { seats: vec![l, Seat(4)], lasts: ms(8000) })])]
#[case::leader_receives_but_cannot_send(3, |l: Seat| vec![at(5000, Fault::Mute { seat: l, lasts: ms(8000) })])]
#[case::leader_sends_but_cannot_receive(3, |l: Seat| vec![at(5000, Fault::Deaf { seat: l, lasts: ms(8000) })])]
#[case::leader_clock_steps_back(3, |l: Seat| vec![at(5000, Fault::Step { seat: l, by: ms(-3000) })])]
#[case::leadership_transfer(3, |l: Seat| vec![at(5000, Fault::Transfer { to: others(l, 3)[0] })])]
#[case::leader_crashes(3, |l: Seat| vec![at(5000, Fault::Crash { seat: l, down: ms(9000), keeps_memory: false })])]
fn a_leader_fault_leads_to_a_new_leader(
    #[case] seats: u16, #[case] schedule: fn(Seat) -> Vec<ScheduledFault>,
) {
    for durable in [false, true] {
        let (_, outcome) = run_with_faults(seats, durable, schedule);
        assert!(outcome.leaders >= 2, "{outcome:?}");
        assert!(outcome.acts > 20, "{outcome:?}");
    }
}

#[rstest]
#[case::one_way_cut_between_followers(|l: Seat| vec![at(5000, Fault::OneWay { from: others(l, 3)[0], to: others(l, 3)[1], lasts: ms(9000) })])]
#[case::follower_paused(|l: Seat| vec![at(5000, Fault::Pause { seat: others(l, 3)[0], lasts: ms(4000) })])]
#[case::follower_restarts(|l: Seat| vec![at(5000, Fault::Crash { seat: others(l, 3)[0], down: ms(50), keeps_memory: false })])]
#[case::follower_clock_jumps(|l: Seat| vec![at(5000, Fault::Step { seat: others(l, 3)[0], by: ms(5000) })])]
#[case::datagrams_duplicated(|_| vec![at(3000, Fault::Double { share: 1.0, lasts: ms(15_000) })])]
#[case::key_change(|_| vec![at(5000, Fault::NewKey { lasts: ms(3000) })])]
fn a_fault_elsewhere_keeps_the_leader(#[case] schedule: fn(Seat) -> Vec<ScheduledFault>) {
    let (_, outcome) = run_with_faults(3, false, schedule);
    assert_eq!(outcome.leaders, 1, "{outcome:?}");
}

/// A tenth of all datagrams arrives up to three lease times late, and so out of order.
#[rstest]
fn datagrams_delayed_beyond_the_lease_and_reordered() {
    let delays = |_| vec![at(3000, Fault::Late { share: 0.1, by: ms(3000), lasts: ms(16_000) })];
    let (_, outcome) = run_with_faults(5, true, delays);
    assert!(outcome.decrees > 50, "{outcome:?}");
}

/// Without a disk no quorum remembers the state, so the group must be bootstrapped again. Terms still
/// rise, and nothing is lost that the third member remembers.
#[rstest]
#[case::without_disk(false)]
#[case::with_disk(true)]
fn a_majority_restarts_at_the_same_time(#[case] durable: bool) {
    let (_, outcome) = run_with_faults(3, durable, |leader| {
        let seats = vec![leader, others(leader, 3)[0]];
        vec![at(6000, Fault::CrashMany { seats, down: ms(100), keeps_memory: true })]
    });
    assert_eq!(outcome.foundings > 3, !durable, "{outcome:?}");
    assert_eq!(outcome.lost_with_memory, 0, "the third member remembered: {outcome:?}");
}

/// A voter is partitioned for longer than `replace_after`, so another member takes its place. Once it is back
/// it must accept the new voters and catch up.
#[rstest]
fn a_partitioned_voter_is_replaced_and_accepts_it_on_return() {
    let quiet = config(5, true, Vec::new());
    let leader = first_leader(&quiet);
    let voter = {
        let mut simulation = Simulation::new(quiet.clone());
        simulation.run_until(ms(4000));
        let voters = simulation.instance(leader).unwrap().raft().voters();
        voters.now.iter().map(|v| v.seat).find(|s| *s != leader).unwrap()
    };
    let fault_schedule = vec![at(5000, Fault::Zone { seats: vec![voter], lasts: ms(9000) })];
    let mut simulation = Simulation::new(SimulationConfig { fault_schedule, ..quiet });
    assert!(simulation.run_until(ms(13_000)));
    let voters = |simulation: &Simulation| simulation.instance(leader).unwrap().raft().voters();
    assert!(!voters(&simulation).now.iter().any(|v| v.seat == voter), "{:?}", voters(&simulation));
    assert!(simulation.run_until(ms(25_000)));
    let returned = simulation.instance(voter).unwrap().raft();
    assert_eq!(returned.committed(), simulation.instance(leader).unwrap().raft().committed());
    assert!(!returned.voters().now.iter().any(|v| v.seat == voter));
    assert_eq!(simulation.invariants.violations, []);
}

/// Leadership is transferred several times while commands are in flight: none is lost or committed twice.
#[rstest]
fn repeated_transfers_under_load() {
    let schedule = |leader| {
        (0..6)
            .map(|n| at(5000 + 2000 * n, Fault::Transfer { to: others(leader, 3)[(n % 2) as usize] }))
            .collect()
    };
    let (_, outcome) = run_with_faults(3, true, schedule);
    assert!(outcome.leaders >= 3, "{outcome:?}");
}

/// A link goes up and down for almost three minutes. The terms must not rise with every change of it.
#[rstest]
fn a_flapping_link_does_not_raise_the_term_without_bound() {
    let quiet = config(3, false, Vec::new());
    let leader = first_leader(&quiet);
    let (a, b) = (leader, others(leader, 3)[0]);
    let fault_schedule = vec![at(5000, Fault::Flap { a, b, every: ms(1300), lasts: ms(170_000) })];
    let flapping = SimulationConfig { fault_schedule, faults_until: ms(180_000), end: ms(200_000), ..quiet };
    let mut simulation = Simulation::new(flapping);
    assert!(simulation.run_until(ms(180_000)), "{:?}", simulation.invariants.violations);
    let terms: Vec<u64> =
        (0..3).map(|s| simulation.instance(Seat(s)).unwrap().raft().term().number_in_era()).collect();
    assert!(terms.iter().all(|t| *t <= 12), "{terms:?} in three minutes");
    assert_eq!(simulation.invariants.violations, []);
}

/// Each seed once violated an invariant; the commit that fixed it says which one and why.
#[rstest]
#[case::memory_identity_guessed_from_a_datagram(1_002_240)]
#[case::eras_started_over(1_000_010)]
#[case::tick_before_hold_renewed(1_003_474)]
#[case::bootstrap_ack_before_proposal(1_018_249)]
#[case::promise_kept_for_a_failed_bootstrap(1_009_694)]
#[case::key_change_missed_while_paused(1_001_283)]
#[case::leader_never_backs_up_over_a_longer_log(8_812_345_002_225)]
#[case::numbers_of_lost_entries_given_again(8_812_345_000_073)]
#[case::numbers_of_lost_entries_given_again_by_another_seat(8_812_345_000_537)]
#[case::refusal_of_an_earlier_terms_append_renewed_the_lease(31_415_926_002_214)]
#[case::earlier_write_completed_after_a_later_one(52_098_117_020_319)]
#[case::earlier_write_of_the_voter_that_made_the_quorum(52_098_117_028_278)]
#[case::accepted_era_that_never_began_kept_a_member_behind(52_098_117_003_989)]
fn seeds_that_once_failed(#[case] seed: u64) {
    let outcome = Simulation::new(proof::seeded_config(seed, None)).run();
    assert_eq!(outcome.broken, []);
    let again = Simulation::new(proof::seeded_config(seed, None)).run();
    assert_eq!(again.hash, outcome.hash, "equal seeds give equal traces");
}

/// A leader is cut off with entries that it has proposed; the two others commit their own and then both lose their
/// memories. What the isolated instance still holds must not be committed under numbers that callers have seen.
#[rstest]
fn numbers_of_lost_entries_are_not_given_again() {
    let (_, outcome) = run_with_faults(3, false, |leader| {
        let isolation = Fault::Zone { seats: vec![leader], lasts: ms(3500) };
        let memory_loss = Fault::CrashMany { seats: others(leader, 3), down: ms(100), keeps_memory: false };
        vec![at(5000, isolation), at(8400, memory_loss)]
    });
    assert!(outcome.lost_with_memory > 5, "{outcome:?}");
    assert!(outcome.foundings >= 6, "the first start and one more: {outcome:?}");
}

/// Two entries were committed when the group is bootstrapped, and the numbers of one are still held.
#[rstest]
fn the_checker_sees_a_number_that_is_given_again_after_a_bootstrap() {
    let mut checker = InvariantChecker::default();
    for number in [1, 2] {
        checker.on_committed(ms(1000), Seat(1), number, 100 + number);
    }
    checker.on_bootstrap(1);
    assert_eq!(checker.entries_lost_with_memory, 1);
    checker.on_committed(ms(2000), Seat(0), 1, 101);
    assert_eq!(checker.violations, []);
    checker.on_committed(ms(2000), Seat(0), 1, 201);
    checker.on_committed(ms(3000), Seat(2), 2, 302);
    let given_again = |number, at, seat| Violation::TwoDecrees { at, seat, number };
    assert_eq!(checker.violations, [given_again(1, ms(2000), Seat(0)), given_again(2, ms(3000), Seat(2))]);
}

/// The latest command on a subject must be kept if a memory holds it at a bootstrap, otherwise the one before.
#[rstest]
fn the_checker_sees_a_leader_that_lacks_a_command_which_was_held() {
    let mut checker = InvariantChecker::default();
    for (number, subject, command) in [(1, "freeze", 11), (2, "widen", 12), (3, "widen", 13)] {
        checker.on_command_committed(number, subject.into(), command);
    }
    checker.on_bootstrap_of_commands(|command| command != 13);
    checker.on_leader_state(ms(2000), Seat(0), &BTreeSet::from([11, 12]));
    assert_eq!(checker.violations, []);
    checker.on_leader_state(ms(3000), Seat(0), &BTreeSet::from([11, 13]));
    let subject = "widen".to_string();
    assert_eq!(checker.violations, [Violation::LostCommand { at: ms(3000), seat: Seat(0), subject }]);
}

#[rstest]
fn sixty_seeds_violate_no_invariant() {
    let summary = proof::run_seeds(1_000_000, 60, 4);
    assert_eq!((summary.violations, summary.unequal_traces, summary.runs), (Vec::new(), 0, 60));
    assert!(summary.actions > 1000 && summary.refused_actions > 100);
}

/// These planted faults show within the fewest seeds; the long form of the proof covers all of them.
#[rstest]
fn planted_faults_are_found() {
    for planted in [
        PlantedFault::ActAfterExpiry,
        PlantedFault::CommitAlone,
        PlantedFault::NoPreVote,
        PlantedFault::TransferKeepsMandate,
        PlantedFault::AppendIdsRestart,
        PlantedFault::OverlappingWrites,
        PlantedFault::EraContinuesPositions,
        PlantedFault::ShortestLogLeads,
    ] {
        assert!(proof::find_planted(planted, 1_000_000, 40, 4).is_some(), "{planted:?}");
    }
}
