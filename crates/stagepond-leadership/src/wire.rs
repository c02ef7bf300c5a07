//! The messages between instances, and their limits.
//!
//! A message is encoded as [postcard](https://postcard.jamesmunns.com/wire-format) and sent in a sealed
//! datagram ([`crate::seal`]). Postcard encodes variants and fields by their order of declaration, so that
//! order must not change. What a message means is decided in [`crate::members`] and [`crate::raft`], not
//! here.

use serde::{Deserialize, Serialize};

use crate::ids::*;
use crate::log::{Entry, Voters};

/// Longest datagram that one instance may send to another, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Bytes that the seal adds to a message: its header and its authentication code.
pub const SEAL_BYTES: usize = 48;
/// Longest encoded message, in bytes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - SEAL_BYTES;
/// Most member states in one [`Gossip`].
pub const MAX_GOSSIP_MEMBERS: usize = 10;
/// Bytes of a snapshot in one [`Message::SnapshotPiece`].
pub const SNAPSHOT_PIECE_BYTES: usize = 160;
/// Longest encoded snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 8192;
/// Bytes reserved for the rest of a message that carries gossip: its variant, nonce and target.
const GOSSIP_MESSAGE_OVERHEAD: usize = 12;

/// The version of the protocol that a process speaks. Messages have the same form in all versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProtocolVersion(pub u8);

impl ProtocolVersion {
    /// Positions of the log are consecutive across eras.
    pub const CONSECUTIVE: ProtocolVersion = ProtocolVersion(0);
    /// The positions of an era may begin above those of the era before.
    pub const CURRENT: ProtocolVersion = ProtocolVersion(1);
}

/// The health of a member: SWIM's states (Das, Gupta and Motivala 2002, section 4.2), and `Left` for a member
/// that announced its shutdown. A later variant overrides an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Not suspected by anyone, as far as is known.
    Alive,
    /// Did not answer a probe and has not refuted that yet.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it shuts down.
    Left,
}

/// The state of one member, as one instance knows it and passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberState {
    /// The seat of the member.
    pub seat: Seat,
    /// The process at the seat.
    pub life: Life,
    /// SWIM's incarnation number, which the member raises to refute a suspicion.
    pub incarnation: u32,
    /// The health of the member in this life and incarnation.
    pub health: Health,
    /// For a suspected member: the instance whose probe it did not answer. Instances that only pass the state
    /// on do not count as a confirmation of the suspicion. For other members it has no meaning.
    pub suspected_by: Seat,
    /// `None` if the member is known only by its datagrams, which do not contain its memory.
    ///
    /// `Some(Memory(0))` means that the memory was created with the process, so it equals `life`. That is the
    /// case for nearly every member without a disk, and this form takes one byte.
    pub memory: Option<Memory>,
}

/// Member states and the commit position that every probe and acknowledgement carries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gossip {
    /// At most [`MAX_GOSSIP_MEMBERS`] member states.
    pub members: Vec<MemberState>,
    /// Term and position of the sender's last committed entry. An instance that has less fetches the rest.
    pub committed: (Term, Number),
}

impl Gossip {
    /// Drops member states from the end until the gossip fits into a message with `reserved` bytes left free.
    pub fn truncate_to_fit(mut self, reserved: usize) -> Gossip {
        let size = |gossip: &Gossip| encoded_len(gossip) + reserved + GOSSIP_MESSAGE_OVERHEAD;
        while size(&self) > MAX_BODY_BYTES && self.members.pop().is_some() {}
        self
    }
}

/// An instance's persistent state in brief, for the initiator of a bootstrap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BootstrapStatus {
    /// The highest era that the instance has seen or taken part in.
    pub era: Era,
    /// Its memory, which with its seat makes it a voter.
    pub memory: Memory,
    /// Term and position of its last entry.
    pub last: (Term, Number),
}

/// A message from one instance to another.
///
/// In Raft's messages `memory` is that of the sender, which with its seat identifies it as a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks a process whose life the sender does not know for a [`Message::Welcome`].
    Hello,
    /// Answers a [`Message::Hello`], or a message that was addressed to an earlier process at the sender's
    /// seat.
    Welcome {
        /// The highest life that the sender knows at the recipient's seat.
        highest_life: Life,
    },

    /// Probes the recipient (SWIM's ping).
    Ping {
        /// Repeated in the acknowledgement.
        nonce: u32,
        gossip: Gossip,
    },
    /// Answers a [`Message::Ping`].
    Ack { nonce: u32, gossip: Gossip },
    /// Asks the recipient to probe `target` for the sender (SWIM's ping-req).
    PingReq { nonce: u32, target: Seat, gossip: Gossip },

    /// Asks whether the recipient would vote for the sender in `term`. The answer is not a vote and binds
    /// neither side (Raft's pre-vote, Ongaro 2014, section 9.6).
    PreVoteRequest {
        term: Term,
        memory: Memory,
        /// Term and position of the sender's last entry.
        last: (Term, Number),
    },
    /// Answers a [`Message::PreVoteRequest`].
    PreVoteAnswer {
        /// The term of the request.
        term: Term,
        memory: Memory,
        granted: bool,
        /// The current term of the sender.
        own_term: Term,
    },
    /// Raft's RequestVote.
    VoteRequest {
        term: Term,
        memory: Memory,
        /// Term and position of the sender's last entry.
        last: (Term, Number),
        /// The term of the leader that gave up its lease and transferred leadership to the sender.
        transfer_term: Option<Term>,
    },
    /// Answers a [`Message::VoteRequest`].
    VoteAnswer { term: Term, memory: Memory, granted: bool },
    /// Raft's AppendEntries, also sent as a heartbeat.
    AppendRequest {
        term: Term,
        memory: Memory,
        /// Number of this request among all that the leader's process sent, in this term or an earlier one;
        /// repeated in the answer.
        append_id: u64,
        /// Term and position of the entry before `entries`.
        previous: (Term, Number),
        /// The leader's commit index.
        commit: Number,
        entries: Vec<Entry>,
    },
    /// Answers a [`Message::AppendRequest`].
    AppendAnswer {
        /// The sender's current term: that of the request, or a later one in which it refused the request.
        term: Term,
        memory: Memory,
        append_id: u64,
        /// Up to which position the sender's log equals the leader's; `None` if it lacks the previous entry.
        matched: Option<Number>,
        /// Position of the sender's last entry.
        last: Number,
        /// The sender's commit index.
        commit: Number,
    },
    /// Asks the recipient to start an election at once: the sender, leader of `term`, has given up its lease
    /// (Ongaro 2014, section 3.10).
    TimeoutNow { term: Term },

    /// Asks for the committed entries after a position, or for a piece of a snapshot.
    Fetch {
        /// Term and position of the sender's last committed entry.
        after: (Term, Number),
        /// Index of the piece that is asked for.
        piece: u16,
        /// Position of the snapshot that the piece belongs to; 0 if none was begun.
        snapshot_number: Number,
    },
    /// Answers a [`Message::Fetch`] if the entries are still kept.
    FetchedEntries { entries: Vec<Entry> },
    /// Answers a [`Message::Fetch`] with a part of the encoded snapshot.
    SnapshotPiece {
        /// Position of the snapshot.
        snapshot_number: Number,
        /// Number of pieces of the snapshot.
        total: u16,
        /// Index of this piece.
        piece: u16,
        bytes: Vec<u8>,
    },

    /// Asks an instance of the pool to promise that it takes part in no era before `era`.
    BootstrapRequest {
        era: Era,
        /// The process that starts the era.
        initiator: Life,
    },
    /// Answers a [`Message::BootstrapRequest`].
    BootstrapAnswer {
        era: Era,
        initiator: Life,
        /// No promise is given, for example because there is a leader.
        refused: bool,
        status: BootstrapStatus,
    },
    /// Proposes the configuration of an era, after the whole pool has promised.
    BootstrapProposal {
        era: Era,
        initiator: Life,
        voters: Voters,
        /// The leader of the era's first term: the instance with the longest log.
        leader: Voter,
    },
    /// Tells the leader of an era that the sender has accepted the proposal. The era begins once the whole
    /// pool has.
    BootstrapAck { era: Era, initiator: Life },
}

impl Message {
    /// Decodes a message. `None` if it is malformed, followed by other bytes, or beyond its limits.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        (rest.is_empty() && message.is_within_limits()).then_some(message)
    }

    /// Encodes the message. The caller must split what it sends so that the result fits into
    /// [`MAX_BODY_BYTES`]; this is not checked here.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values have an encoding")
    }

    fn is_within_limits(&self) -> bool {
        match self {
            Message::Ping { gossip, .. } | Message::Ack { gossip, .. } | Message::PingReq { gossip, .. } => {
                gossip.members.len() <= MAX_GOSSIP_MEMBERS
            }
            Message::SnapshotPiece { bytes, piece, total, .. } => {
                bytes.len() <= SNAPSHOT_PIECE_BYTES
                    && piece < total
                    && usize::from(*total) * SNAPSHOT_PIECE_BYTES <= MAX_SNAPSHOT_BYTES
            }
            _ => true,
        }
    }
}

/// The longest prefix of `entries` whose encodings fit into `max_bytes` together.
pub fn take_fitting<'a>(entries: impl Iterator<Item = &'a Entry>, max_bytes: usize) -> Vec<Entry> {
    let mut left = max_bytes;
    let mut taken = Vec::new();
    for entry in entries {
        let bytes = encoded_len(entry);
        if bytes > left {
            break;
        }
        left -= bytes;
        taken.push(entry.clone());
    }
    taken
}

/// Length of the encoding; `usize::MAX` if there is none.
fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(usize::MAX, |bytes| bytes.len())
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        /// Any bytes either fail to decode or decode to a message that encodes and decodes to itself.
        #[test]
        fn decode_of_arbitrary_bytes_neither_panics_nor_overallocates(
            bytes in proptest::collection::vec(any::<u8>(), 0..300)
        ) {
            if let Some(message) = Message::decode(&bytes) {
                prop_assert_eq!(Message::decode(&message.encode()), Some(message));
            }
        }
    }

    /// The longest messages that are sent hold a configuration of seven voters with large identifiers and a
    /// membership change, or as much gossip as fits.
    #[test]
    fn longest_messages_fit_into_a_datagram() {
        let voter = |n: u16| Voter { seat: Seat(60_000 + n), memory: Memory((1 << 45) + u64::from(n)) };
        let voters = Voters { now: (0..7).map(voter).collect(), change: Some((voter(0), voter(8))) };
        let era = Era(1 << 43);
        let (term, number) = (Term::first_of_era(era), Number::first_of_era(era));
        let entry = Entry {
            term,
            number,
            leader: Seat(60_000),
            command: crate::log::Command::Voters(voters.clone()),
        };
        let memory = Memory(1 << 45);
        let append = Message::AppendRequest {
            term,
            memory,
            append_id: 1 << 40,
            previous: (term, number),
            commit: number,
            entries: vec![entry],
        };
        let proposal = Message::BootstrapProposal {
            era: Era(1 << 43),
            initiator: Life(1 << 45),
            voters,
            leader: voter(0),
        };
        let long = MemberState {
            seat: Seat(60_000),
            life: Life(1 << 45),
            incarnation: 900,
            health: Health::Dead,
            suspected_by: Seat(60_000),
            memory: Some(memory),
        };
        let gossip = Gossip { members: vec![long; MAX_GOSSIP_MEMBERS], committed: (term, number) };
        let gossip = gossip.truncate_to_fit(0);
        assert!(gossip.members.len() >= 6);
        let short = MemberState {
            memory: Some(Memory(0)),
            seat: Seat(999),
            suspected_by: Seat(999),
            incarnation: 9,
            ..long
        };
        let usual = Gossip { members: vec![short; MAX_GOSSIP_MEMBERS], committed: (Term(1 << 61), number) };
        let usual = usual.truncate_to_fit(0);
        assert_eq!(usual.members.len(), MAX_GOSSIP_MEMBERS, "without disks, no member state is dropped");
        let ping_req = Message::PingReq { nonce: u32::MAX, target: Seat(60_000), gossip };
        let piece = Message::SnapshotPiece {
            snapshot_number: number,
            total: 50,
            piece: 49,
            bytes: vec![0; SNAPSHOT_PIECE_BYTES],
        };
        for message in [append, proposal, ping_req, piece] {
            let bytes = message.encode();
            assert!(bytes.len() <= MAX_BODY_BYTES, "{} bytes: {message:?}", bytes.len());
            assert_eq!(Message::decode(&bytes), Some(message));
        }
    }
}
