//! A Raft node whose peers are scripted: the test delivers each message and sees what the node sends.

// Each test program uses a part of this.
#![allow(dead_code)]

use stagepond_leadership::ids::*;
use stagepond_leadership::log::{Command, Log, Voters};
use stagepond_leadership::members::Members;
use stagepond_leadership::planted::Planted;
use stagepond_leadership::raft::{PersistentState, RaftNode};
use stagepond_leadership::settings::Settings;
use stagepond_leadership::wire::{Health, MemberState, Message};

pub const FIRST_TERM: Term = Term((1000 << TERM_BITS) | 1);
pub const NODE: Seat = Seat(0);
/// The follower that answers; the third voter never does.
pub const PEER: Seat = Seat(1);

pub fn memory_of(seat: Seat) -> Memory {
    Memory(500 + u64::from(seat.0))
}

pub fn settings(durable: bool) -> Settings {
    Settings { prefer_lowest_seat: false, durable, ..Settings::default_for(3) }.validate().unwrap()
}

pub fn voters() -> Voters {
    let voter = |seat| Voter { seat: Seat(seat), memory: memory_of(Seat(seat)) };
    Voters::single((0..3).map(voter).collect())
}

/// The log up to an entry, all of it committed.
pub fn log_up_to(last: Number) -> Log {
    let mut log = Log::default();
    log.append(FIRST_TERM, PEER, Command::Voters(voters()));
    for build in 2..=last.0 {
        log.append(FIRST_TERM, PEER, Command::Freeze { build: build as u16, frozen: true });
    }
    log.commit_up_to(last);
    log
}

/// The node at seat 0, with a committed configuration of three voters, all of them alive.
pub struct Scripted {
    pub node: RaftNode,
    pub members: Members,
    pub now: Tenths,
}

impl Scripted {
    pub fn new(durable: bool) -> Scripted {
        Scripted::with_log(durable, log_up_to(Number(1)))
    }

    pub fn with_log(durable: bool, log: Log) -> Scripted {
        Scripted::start(durable, log, Life(memory_of(NODE).0))
    }

    pub fn start(durable: bool, log: Log, life: Life) -> Scripted {
        let (now, settings) = (Tenths(0), settings(durable));
        let memory = memory_of(NODE);
        let persistent = PersistentState { term: FIRST_TERM, log, ..PersistentState::empty(NODE, memory) };
        let mut members = Members::new(now, NODE, life, memory, &settings, 0);
        for seat in [1, 2].map(Seat) {
            members.merge(
                now,
                MemberState {
                    seat,
                    life: Life(memory_of(seat).0),
                    incarnation: 0,
                    health: Health::Alive,
                    suspected_by: seat,
                    memory: Some(Memory(0)),
                },
            );
        }
        let node = RaftNode::new(now, life, persistent, &settings, 0, Planted::default());
        Scripted { node, members, now }
    }

    /// Moves to the time at which the node has work to do, and returns the messages that it sends to the peer.
    pub fn tick(&mut self) -> Vec<Message> {
        self.now = self.now.max(self.node.next_due());
        self.node.tick(self.now, &self.members);
        self.sent()
    }

    /// Delivers a message of the peer, and returns those that the node sends back.
    pub fn deliver(&mut self, message: Message) -> Vec<Message> {
        self.node.on_message(self.now, PEER, message);
        self.sent()
    }

    pub fn sent(&mut self) -> Vec<Message> {
        let (_, messages) = self.node.finish_step(self.now);
        messages.into_iter().filter(|(to, _)| *to == PEER).map(|(_, message)| message).collect()
    }

    /// The peer's answer to a request of the node, as a follower with an equal log and term gives it.
    pub fn answer(&self, request: &Message) -> Option<Message> {
        let memory = memory_of(PEER);
        match request {
            Message::PreVoteRequest { term, .. } => Some(Message::PreVoteAnswer {
                term: *term,
                memory,
                granted: true,
                own_term: self.node.term(),
            }),
            Message::VoteRequest { term, .. } => {
                Some(Message::VoteAnswer { term: *term, memory, granted: true })
            }
            Message::AppendRequest { term, append_id, previous, commit, entries, .. } => {
                let last = entries.last().map_or(previous.1, |entry| entry.number);
                let (append_id, matched) = (*append_id, Some(last));
                Some(Message::AppendAnswer { term: *term, memory, append_id, matched, last, commit: *commit })
            }
            _ => None,
        }
    }

    /// Ticks, and has the peer answer all that follows, until the condition holds.
    pub fn answer_until(&mut self, condition: impl Fn(&Scripted) -> bool) {
        for _ in 0..200 {
            let mut requests = self.tick();
            while let Some(request) = requests.pop() {
                let answer = self.answer(&request);
                requests.extend(answer.into_iter().flat_map(|answer| self.deliver(answer)));
                if condition(self) {
                    return;
                }
            }
        }
        panic!("the condition did not hold within 200 ticks");
    }

    pub fn holds_lease(&self) -> bool {
        self.node.lease(self.now).is_some()
    }
}
