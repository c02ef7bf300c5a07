//! The messages between instances, each decoded once into one of these. It owns their bounds; it must never
//! decide what a message does. On the wire: postcard (the public serialization of that name), inside a seal.

use serde::{Deserialize, Serialize};

use crate::ids::*;
use crate::log::{Entry, Voters};

/// The longest datagram that may go from one instance to another.
pub const DATAGRAM_MAX: usize = 256;
/// What the seal adds: head and code.
pub const SEAL_BYTES: usize = 48;
pub const BODY_MAX: usize = DATAGRAM_MAX - SEAL_BYTES;
/// Of a body, what news of members may take in a message of probes.
pub const NEWS_MAX: usize = 10;
/// Of a whole state that is sent in pieces: bytes in each, and in all.
pub const PIECE_BYTES: usize = 160;
pub const STATE_MAX: usize = 8192;

/// SWIM's states (Das, Gupta and Motivala 2002, section 4.2), and an orderly leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// One member's state as somebody knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct News {
    pub seat: Seat,
    pub life: Life,
    pub incarnation: u32,
    pub health: Health,
    /// Of one that is suspected: whose probe it did not answer. Others pass the word on and confirm nothing.
    pub by: Seat,
    /// `None`: known by its datagrams only, what it remembers is not. `Some(Memory(0))`: it began with the life,
    /// as nearly all do where there is no disk; so it costs one byte.
    pub memory: Option<Memory>,
}

/// What goes with each probe and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gossip {
    pub news: Vec<News>,
    /// How far the sender's record is in force, and under which term: who has less asks for the rest.
    pub record: (Term, Number),
}

impl Gossip {
    /// As much of it as a datagram carries beside this many bytes and the probe's own.
    pub fn fitting(mut self, besides: usize) -> Gossip {
        let size = |gossip: &Gossip| postcard::experimental_size(gossip) + besides + 12;
        while size(&self) > BODY_MAX && self.news.pop().is_some() {}
        self
    }
}

/// How an instance of the pool stands, for a founding.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promised {
    pub era: Era,
    pub memory: Memory,
    pub last: (Term, Number),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a process that the sender does not know: asks for its life, and does nothing else.
    Hello,
    /// The answer, or word to somebody who writes to an earlier process.
    Welcome {
        highest: Life,
    },

    Ping {
        nonce: u32,
        gossip: Gossip,
    },
    Ack {
        nonce: u32,
        gossip: Gossip,
    },
    /// Asks another to probe a member (SWIM's ping-req).
    PingFor {
        nonce: u32,
        target: Seat,
        gossip: Gossip,
    },

    /// Would you vote for me? Nothing is promised (Raft's pre-vote).
    PreVote {
        term: Term,
        memory: Memory,
        last: (Term, Number),
    },
    PreVoted {
        term: Term,
        memory: Memory,
        granted: bool,
        own: Term,
    },
    /// `handed` is the term of the leader that hands over and has given up its mandate.
    Vote {
        term: Term,
        memory: Memory,
        last: (Term, Number),
        handed: Option<Term>,
    },
    Voted {
        term: Term,
        memory: Memory,
        granted: bool,
    },
    Append {
        term: Term,
        memory: Memory,
        round: u64,
        before: (Term, Number),
        commit: Number,
        entries: Vec<Entry>,
    },
    Appended {
        term: Term,
        memory: Memory,
        round: u64,
        matched: Option<Number>,
        last: Number,
        commit: Number,
    },
    /// You lead next: the sender has given up its mandate of this term.
    HandOver {
        term: Term,
    },

    /// Asks for what is in force after this.
    Fetch {
        after: (Term, Number),
        piece: u16,
        of: Number,
    },
    Decrees {
        entries: Vec<Entry>,
    },
    /// A part of a whole state; `of` and `bytes` tell which and how long it is.
    Piece {
        of: Number,
        total: u16,
        piece: u16,
        bytes: Vec<u8>,
    },

    /// Asks each of the pool for its word to take part in no earlier era.
    Found {
        era: Era,
        asker: Life,
    },
    FoundAnswer {
        asked: Era,
        asker: Life,
        busy: bool,
        promised: Promised,
    },
    /// The era begins, with these voters, once each of the pool has agreed; the leader of its first term is the
    /// one whose record is the longest.
    Charter {
        era: Era,
        asker: Life,
        voters: Voters,
        leader: Voter,
    },
    /// To that leader.
    Agreed {
        era: Era,
        asker: Life,
    },
}

impl Message {
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        (rest.is_empty() && message.bounded()).then_some(message)
    }

    /// Too long for a datagram is a fault of the caller: it splits what it sends.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values have an encoding")
    }

    fn bounded(&self) -> bool {
        match self {
            Message::Ping { gossip, .. } | Message::Ack { gossip, .. } | Message::PingFor { gossip, .. } => {
                gossip.news.len() <= NEWS_MAX
            }
            Message::Piece { bytes, piece, total, .. } => {
                bytes.len() <= PIECE_BYTES && piece < total && usize::from(*total) * PIECE_BYTES <= STATE_MAX
            }
            _ => true,
        }
    }
}

/// Takes from the front as many as fit into a body beside what else the message holds.
pub fn fitting<'a>(entries: impl Iterator<Item = &'a Entry>, room: usize) -> Vec<Entry> {
    let mut left = room;
    let mut taken = Vec::new();
    for entry in entries {
        let bytes = postcard::experimental_size(entry);
        if bytes > left {
            break;
        }
        left -= bytes;
        taken.push(entry.clone());
    }
    taken
}

mod postcard {
    pub use ::postcard::{take_from_bytes, to_allocvec};

    pub fn experimental_size<T: serde::Serialize>(value: &T) -> usize {
        to_allocvec(value).map_or(usize::MAX, |bytes| bytes.len())
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn no_bytes_make_it_panic_or_allocate_without_bound(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            if let Some(message) = Message::decode(&bytes) {
                prop_assert_eq!(Message::decode(&message.encode()), Some(message));
            }
        }
    }

    /// The longest that are sent: all seven voters replaced by others, and probes full of news.
    #[test]
    fn the_longest_messages_fit_a_datagram() {
        let voter = |n: u16| Voter { seat: Seat(60_000 + n), memory: Memory((1 << 45) + u64::from(n)) };
        let voters = Voters { now: (0..7).map(voter).collect(), change: Some((voter(0), voter(8))) };
        let (term, number) = (Term::first_of_era(Era(1 << 43)), Number(1 << 40));
        let entry = Entry {
            term,
            number,
            leader: Seat(60_000),
            command: crate::log::Command::Voters(voters.clone()),
        };
        let memory = Memory(1 << 45);
        let append = Message::Append {
            term,
            memory,
            round: 1 << 40,
            before: (term, number),
            commit: number,
            entries: vec![entry],
        };
        let charter = Message::Charter { era: Era(1 << 43), asker: Life(1 << 45), voters, leader: voter(0) };
        let news = News {
            seat: Seat(60_000),
            life: Life(1 << 45),
            incarnation: 900,
            health: Health::Dead,
            by: Seat(60_000),
            memory: Some(memory),
        };
        let gossip = Gossip { news: vec![news; NEWS_MAX], record: (term, number) }.fitting(0);
        assert!(gossip.news.len() >= 6);
        let short = News { memory: Some(Memory(0)), seat: Seat(999), by: Seat(999), incarnation: 9, ..news };
        let usual = Gossip { news: vec![short; NEWS_MAX], record: (Term(1 << 61), number) }.fitting(0);
        assert_eq!(usual.news.len(), NEWS_MAX, "where nobody has a disk all that may go do");
        let ping = Message::PingFor { nonce: u32::MAX, target: Seat(60_000), gossip };
        let piece = Message::Piece { of: number, total: 50, piece: 49, bytes: vec![0; PIECE_BYTES] };
        for message in [append, charter, ping, piece] {
            let bytes = message.encode();
            assert!(bytes.len() <= BODY_MAX, "{} bytes: {message:?}", bytes.len());
            assert_eq!(Message::decode(&bytes), Some(message));
        }
    }
}
