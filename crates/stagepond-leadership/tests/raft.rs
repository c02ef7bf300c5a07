//! One Raft node whose peers are scripted, for orders of messages and writes that the simulation seldom draws.

mod scripted;

use rstest::rstest;
use scripted::*;
use stagepond_leadership::ids::*;
use stagepond_leadership::log::{Command, Entry};
use stagepond_leadership::wire::Message;

/// A refusal names the append that it refuses, of an earlier term, and the follower's own term, which is this
/// one. It must not count as the answer to the heartbeats of this term, none of which has that number yet.
#[rstest]
fn an_answer_to_an_append_of_an_earlier_term_does_not_renew_the_lease() {
    let mut leader = Scripted::new(false);
    leader.answer_until(Scripted::holds_lease);
    let first_term = leader.node.term();
    let until = leader.now + Tenths::ms(20_000);
    leader.answer_until(|leader| leader.now >= until);
    let Some(Message::AppendRequest { append_id, .. }) = leader.tick().pop() else {
        panic!("a leader sends heartbeats")
    };
    let memory = memory_of(PEER);
    leader.deliver(Message::VoteAnswer { term: first_term.next(), memory, granted: false });
    assert!(!leader.node.is_leader(), "a later term exists");
    leader.answer_until(Scripted::holds_lease);

    let (term, commit) = (leader.node.term(), leader.node.committed().1);
    let last = leader.node.log().last().1;
    leader.deliver(Message::AppendAnswer { term, memory, append_id, matched: None, last, commit });
    let ends_at = leader.now + settings(false).lease_time();
    while leader.now < ends_at {
        leader.tick();
    }
    assert!(!leader.holds_lease(), "nobody answers any more");
    assert!(!leader.node.is_leader(), "nobody answers any more");
}

/// Each write replaces the whole state. An earlier one that is done after a later one would take the log back
/// behind entries that this node has confirmed.
#[rstest]
fn a_state_is_given_out_only_after_the_write_before_it() {
    let mut follower = Scripted::new(true);
    let mut append = |number: u64| {
        let entry = Entry {
            term: FIRST_TERM,
            number: Number(number),
            leader: PEER,
            command: Command::Freeze { build: number as u16, frozen: true },
        };
        let request = Message::AppendRequest {
            term: FIRST_TERM,
            memory: memory_of(PEER),
            append_id: number,
            previous: (FIRST_TERM, Number(number - 1)),
            commit: Number(1),
            entries: vec![entry],
        };
        follower.node.on_message(follower.now, PEER, request);
        follower.node.finish_step(follower.now)
    };
    let (first_write, answers) = append(2);
    let first_write = first_write.expect("entry 2 must be written");
    assert_eq!(answers, [], "nothing is confirmed before it is written");
    assert_eq!(append(3), (None, vec![]), "the first write is not done");
    assert_eq!(append(4), (None, vec![]), "the first write is not done");

    let mut written = |version| {
        follower.node.on_persisted(follower.now, version);
        let (next_write, answers) = follower.node.finish_step(follower.now);
        let matched = answers.into_iter().filter_map(|(_, answer)| match answer {
            Message::AppendAnswer { matched, .. } => matched,
            _ => None,
        });
        (next_write, matched.collect::<Vec<_>>())
    };
    let (second_write, confirmed) = written(first_write);
    assert_eq!(confirmed, [Number(2)]);
    let second_write = second_write.expect("entries 3 and 4 must be written");
    assert_eq!(written(first_write), (None, vec![]), "a repeated completion confirms nothing more");
    assert_eq!(written(second_write), (None, vec![Number(3), Number(4)]));
}

/// A follower whose log is longer but different refuses the append; the leader tries an earlier entry each time.
#[rstest]
fn a_leader_backs_up_over_a_longer_log() {
    let mut log = log_up_to(Number(1));
    for build in [2, 3] {
        log.append(FIRST_TERM, NODE, Command::Freeze { build, frozen: true });
    }
    let mut leader = Scripted::with_log(false, log);
    let refused_by_peer = |request: &Message| match request {
        Message::AppendRequest { term, append_id, previous, .. } => {
            let (term, append_id, memory) = (*term, *append_id, memory_of(PEER));
            let (last, commit) = (Number(5), Number(1));
            let refusal = Message::AppendAnswer { term, memory, append_id, matched: None, last, commit };
            Some((previous.1, refusal))
        }
        _ => None,
    };
    let mut requests = Vec::new();
    while !leader.node.is_leader() {
        requests = leader.tick();
        while let Some(answer) = requests.first().and_then(|request| leader.answer(request)) {
            requests = leader.deliver(answer);
            if leader.node.is_leader() {
                break;
            }
        }
    }
    let mut tried = Vec::new();
    while let Some((previous, refusal)) = requests.iter().find_map(refused_by_peer) {
        tried.push(previous);
        if previous <= Number(1) || tried.len() > 5 {
            break;
        }
        requests = leader.deliver(refusal);
    }
    assert_eq!(tried, [Number(3), Number(2), Number(1)]);
}
