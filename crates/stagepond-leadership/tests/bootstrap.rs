//! The bootstrap of an era, as seen by one Raft node whose peers are scripted.

mod scripted;

use rstest::rstest;
use scripted::*;
use stagepond_leadership::ids::*;
use stagepond_leadership::log::{Command, Entry, EraNumbering, Log};
use stagepond_leadership::raft::{Event, PersistentState};
use stagepond_leadership::wire::{Message, ProtocolVersion};

/// The process at the peer's seat, as the initiator of a bootstrap.
const INITIATOR: Life = Life(501);
/// The last entry that the peer has committed.
const LAST_OF_PEER: Number = Number(3);

/// All that the peer has committed, in one piece.
fn snapshot_of_peer() -> Message {
    let bytes = postcard::to_allocvec(log_up_to(LAST_OF_PEER).committed()).unwrap();
    Message::SnapshotPiece { snapshot_number: LAST_OF_PEER, total: 1, piece: 0, bytes }
}

/// The proposal of an era that seat 2 is to lead.
fn proposal(era: Era) -> Message {
    let leader = Voter { seat: Seat(2), memory: memory_of(Seat(2)) };
    Message::BootstrapProposal { era, initiator: INITIATOR, voters: voters(), leader }
}

/// The node learns that the peer has committed more, and asks for it unless it must not.
fn fetch_from_peer(node: &mut Scripted) {
    node.node.on_peer_commit(node.now, PEER, (FIRST_TERM, LAST_OF_PEER));
}

/// The era's leader is chosen by what each instance said of its log. One whose log has grown since then, here by
/// a snapshot, must not accept a leader that may lack the new entries.
#[rstest]
fn a_snapshot_withdraws_the_promise_to_a_bootstrap() {
    let mut node = Scripted::new(false);
    let era = Era(2000);
    fetch_from_peer(&mut node);
    node.deliver(Message::BootstrapRequest { era, initiator: INITIATOR });
    node.deliver(snapshot_of_peer());
    assert_eq!(node.node.committed(), (FIRST_TERM, LAST_OF_PEER), "the snapshot is complete");
    node.deliver(proposal(era));
    assert_eq!(node.node.term(), FIRST_TERM, "the proposal is refused");
}

/// Once an instance has accepted an era, its log may grow by what that era's leader holds alone.
#[rstest]
#[case::requested_before(true, false)]
#[case::requested_after(false, true)]
fn an_accepted_era_ends_a_fetch_from_earlier_eras(#[case] before: bool, #[case] after: bool) {
    let mut node = Scripted::new(false);
    let era = Era(2000);
    if before {
        fetch_from_peer(&mut node);
    }
    node.deliver(Message::BootstrapRequest { era, initiator: INITIATOR });
    node.deliver(proposal(era));
    assert_eq!(node.node.term(), Term::first_of_era(era), "the proposal is accepted");
    if after {
        fetch_from_peer(&mut node);
    }
    node.deliver(snapshot_of_peer());
    assert_eq!(node.node.committed(), (FIRST_TERM, Number(1)));
}

/// A group that goes on without an accepted era must move past it before this instance may fetch again.
#[rstest]
fn an_overdue_era_is_reported_to_a_group_that_goes_on_without_it() {
    let mut node = Scripted::new(false);
    let era = Era(2000);
    let era_term = Term::first_of_era(era);
    node.deliver(Message::BootstrapRequest { era, initiator: INITIATOR });
    node.deliver(proposal(era));
    fetch_from_peer(&mut node);
    assert_eq!(node.sent(), [], "the era may still begin");
    node.now = node.now + settings(false).hold_time + settings(false).hold_time;
    fetch_from_peer(&mut node);
    let report = Message::VoteAnswer { term: era_term, memory: memory_of(NODE), granted: false };
    assert_eq!(node.sent(), [report]);
    node.node.on_peer_commit(node.now, PEER, (era_term.next(), LAST_OF_PEER.next()));
    let after = (FIRST_TERM, Number(1));
    assert_eq!(node.sent(), [Message::Fetch { after, piece: 0, snapshot_number: Number(0) }]);
}

/// The era that begins in these tests, the term of its leader and the first position of its own.
const NEW_ERA: Era = Era(2000);
const NEW_TERM: Term = Term((NEW_ERA.0 << TERM_BITS) | 1);

fn position_in_new_era(offset: u64) -> Number {
    Number(Number::first_of_era(NEW_ERA).0 + offset)
}

/// A log whose entries 2 and 3 are uncommitted.
fn log_with_two_uncommitted() -> Log {
    let mut log = log_up_to(Number(1));
    for build in [2, 3] {
        log.append(FIRST_TERM, NODE, Command::Freeze { build, frozen: true });
    }
    log
}

/// The node at seat 0 accepts the new era as its leader. The peer's process speaks this version of the protocol.
/// Returns the node with what it sends to the peer once all have acknowledged the era.
fn leader_of_new_era(peer_protocol: ProtocolVersion) -> (Scripted, Vec<Message>) {
    let mut node = Scripted::with_log(false, log_with_two_uncommitted());
    node.node.on_peer_protocol(PEER, peer_protocol);
    let leader = Voter { seat: NODE, memory: memory_of(NODE) };
    node.deliver(Message::BootstrapRequest { era: NEW_ERA, initiator: INITIATOR });
    node.deliver(Message::BootstrapProposal { era: NEW_ERA, initiator: INITIATOR, voters: voters(), leader });
    let ack = Message::BootstrapAck { era: NEW_ERA, initiator: INITIATOR };
    node.node.on_message(node.now, Seat(2), ack.clone());
    let requests = node.deliver(ack);
    assert!(node.node.is_leader(), "all have acknowledged the era");
    (node, requests)
}

/// The append to the node at seat 0 with which the peer, as the leader of the new era, sends these entries.
fn append_of_new_era(previous: (Term, Number), commit: Number, entries: Vec<Entry>) -> Message {
    let memory = memory_of(PEER);
    Message::AppendRequest { term: NEW_TERM, memory, append_id: 1, previous, commit, entries }
}

fn opening(number: Number) -> Entry {
    Entry { term: NEW_TERM, number, leader: PEER, command: Command::Voters(voters()) }
}

/// The positions that were reported as committed, in order.
fn committed_positions(node: &mut Scripted) -> Vec<Number> {
    let position = |event| match event {
        Event::Committed { entry, .. } => Some(entry.number),
        _ => None,
    };
    node.node.events.drain(..).filter_map(position).collect()
}

/// The leader of an era can't know whether entries 2 and 3, or others under the same positions, had been committed.
#[rstest]
fn what_an_earlier_era_left_uncommitted_gets_positions_of_the_new_era() {
    let (mut leader, requests) = leader_of_new_era(ProtocolVersion::CURRENT);
    let Some(Message::AppendRequest { previous, entries, .. }) = requests.first() else {
        panic!("{requests:?}")
    };
    let numbers: Vec<Number> = entries.iter().map(|entry| entry.number).collect();
    assert_eq!((*previous, numbers), ((FIRST_TERM, Number(3)), vec![position_in_new_era(2)]));
    let answer = leader.answer(&requests[0]).unwrap();
    leader.deliver(answer);
    assert_eq!(committed_positions(&mut leader), [0, 1, 2].map(position_in_new_era));
    assert_eq!(leader.node.committed(), (NEW_TERM, position_in_new_era(2)));
    let next = leader.node.propose(leader.now, Command::Freeze { build: 9, frozen: true });
    assert_eq!(next, Ok(position_in_new_era(3)));
}

/// A process of the version before stores consecutive positions only, so an era with one goes on with them.
#[rstest]
fn an_era_with_a_process_of_the_version_before_continues_the_positions() {
    let (mut leader, requests) = leader_of_new_era(ProtocolVersion::CONSECUTIVE);
    let answer = leader.answer(&requests[0]).unwrap();
    leader.deliver(answer);
    assert_eq!(committed_positions(&mut leader), [2, 3, 4].map(Number));
}

/// A follower that lacks the entry which opens the era doesn't know under which positions to commit what is left.
#[rstest]
fn a_follower_commits_what_is_left_with_the_entry_that_opens_the_era() {
    let mut follower = Scripted::with_log(false, log_with_two_uncommitted());
    let commit = position_in_new_era(2);
    follower.deliver(append_of_new_era((FIRST_TERM, Number(3)), commit, vec![]));
    assert_eq!(committed_positions(&mut follower), []);
    follower.deliver(append_of_new_era((FIRST_TERM, Number(3)), commit, vec![opening(commit)]));
    assert_eq!(committed_positions(&mut follower), [0, 1, 2].map(position_in_new_era));
}

/// Entry 3 is not in the log of the era's leader, which opens the era after entry 2.
#[rstest]
fn a_follower_drops_what_the_leader_of_the_era_lacks() {
    let mut follower = Scripted::with_log(false, log_with_two_uncommitted());
    let commit = position_in_new_era(1);
    let answers = follower.deliver(append_of_new_era((FIRST_TERM, Number(2)), commit, vec![opening(commit)]));
    assert!(
        matches!(answers[..], [Message::AppendAnswer { matched: Some(matched), .. }] if matched == commit),
        "{answers:?}"
    );
    assert_eq!(committed_positions(&mut follower), [0, 1].map(position_in_new_era));
    assert_eq!(follower.node.log().entry(Number(3)), None);
    let (first, second) = (follower.node.log().previous_of(commit), (FIRST_TERM, Number(2)));
    assert_eq!(first, second, "the entry before the opening one");
}

/// The entry that opens an era and those that got positions of the era are sent as a snapshot only: a member that
/// fetched them one by one would commit them under their old positions.
#[rstest]
fn entries_across_the_begin_of_an_era_are_fetched_as_a_snapshot() {
    let (mut leader, requests) = leader_of_new_era(ProtocolVersion::CURRENT);
    let answer = leader.answer(&requests[0]).unwrap();
    leader.deliver(answer);
    leader.node.propose(leader.now, Command::Freeze { build: 9, frozen: true }).unwrap();
    while leader.node.committed().1 < position_in_new_era(3) {
        let answers: Vec<_> = leader.tick().iter().filter_map(|request| leader.answer(request)).collect();
        answers.into_iter().for_each(|answer| drop(leader.deliver(answer)));
    }
    let fetch = |after| Message::Fetch { after, piece: 0, snapshot_number: Number(0) };
    for after in [(FIRST_TERM, Number(1)), (FIRST_TERM, Number(2)), (FIRST_TERM, Number(3))] {
        let answers = leader.deliver(fetch(after));
        assert!(matches!(answers[..], [Message::SnapshotPiece { .. }]), "{answers:?}");
    }
    let answers = leader.deliver(fetch((NEW_TERM, position_in_new_era(2))));
    let [Message::FetchedEntries { entries }] = &answers[..] else { panic!("{answers:?}") };
    assert_eq!(entries[0].number, position_in_new_era(3));
}

/// What is on disk has the begin of an era in the middle of its log, or goes on as the build before wrote it.
#[rstest]
#[case::own(EraNumbering::Own, position_in_new_era(2))]
#[case::consecutive(EraNumbering::Consecutive, Number(4))]
fn a_state_with_two_eras_is_read_back(#[case] numbering: EraNumbering, #[case] opening: Number) {
    let mut log = log_with_two_uncommitted();
    assert_eq!(log.append_opening(NEW_TERM, NODE, voters(), numbering), opening);
    let persistent = PersistentState { term: NEW_TERM, log, ..PersistentState::empty(NODE, memory_of(NODE)) };
    let read = PersistentState::decode(&persistent.encode(), NODE).expect("the state is valid");
    assert_eq!(read, persistent);
    assert_eq!(read.log.uncommitted_len(), 3);
}

/// An era's positions must be above what this instance holds, and above what an earlier process at its seat may
/// have held.
#[rstest]
#[case::not_above_the_own_log(Number(NEW_ERA.0 << 10), Life(500), NEW_ERA)]
#[case::before_the_own_start(Number(1), Life(20_000), NEW_ERA)]
fn an_era_that_may_give_positions_again_is_refused(
    #[case] last: Number, #[case] life: Life, #[case] at_least: Era,
) {
    let mut log = Log::default();
    let entry = Entry { term: FIRST_TERM, number: last, leader: PEER, command: Command::Voters(voters()) };
    assert!(log.store(Number(0), entry));
    let mut node = Scripted::start(false, log, life);
    let request = |era| Message::BootstrapRequest { era, initiator: INITIATOR };
    for (era, expected) in [(NEW_ERA, true), (Era(NEW_ERA.0 + 1), false)] {
        let answers = node.deliver(request(era));
        let [Message::BootstrapAnswer { refused, status, .. }] = &answers[..] else { panic!("{answers:?}") };
        assert_eq!(*refused, expected, "{era:?}");
        assert!(status.era >= at_least, "the initiator must learn which eras are too low");
    }
}
