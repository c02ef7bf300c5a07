//! Authentication of datagrams between instances.
//!
//! All instances share secret keys. A datagram is accepted once, by the process it is addressed to, and only
//! if it was sealed with one of the keys. The body is not encrypted, and this module does not look into it.
//! Secrets never leave it: a key shows only its number.
//!
//! A sealed datagram consists of a header, the body and an authentication code. Numbers are little-endian.
//!
//! | bytes | field |
//! |---|---|
//! | 1 | [`FORMAT_BYTE`] |
//! | 1 | number of the key |
//! | 2 | zero |
//! | 2 + 2 | seat of the sender, seat of the recipient |
//! | 8 + 8 | life of the sender, life of the recipient |
//! | 7 | counter, raised by the sender with each datagram |
//! | 1 | the sender's [`ProtocolVersion`]; receivers of version 0 take it for a part of the counter |
//! | any | body |
//! | 16 | HMAC-SHA-256 (RFC 2104, FIPS 180-4) of all before, truncated (RFC 2104, section 5) |

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::ids::{Life, Seat, Tenths};
use crate::wire::{ProtocolVersion, MAX_DATAGRAM_BYTES, SEAL_BYTES};

/// The first byte of every sealed datagram. No message of the decision module begins with it.
pub const FORMAT_BYTE: u8 = 0xD7;
const HEADER_BYTES: usize = 32;
const CODE_BYTES: usize = 16;
/// Where the protocol version begins in the eight bytes of the counter.
const PROTOCOL_SHIFT: u32 = 56;
const _: () = assert!(HEADER_BYTES + CODE_BYTES == SEAL_BYTES);
/// Shortest secret that is accepted, in bytes.
const MIN_SECRET_BYTES: usize = 32;
/// How far a datagram's counter may be behind the highest one received: less than this.
const REPLAY_WINDOW: u64 = 64;

/// A secret shared by all instances, with its number.
#[derive(Clone)]
pub struct Key {
    number: u8,
    secret: Vec<u8>,
}

/// Prints the number only, never the secret.
impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.number)
    }
}

impl Key {
    /// `None` if the secret is shorter than 32 bytes.
    pub fn new(number: u8, secret: &[u8]) -> Option<Key> {
        (secret.len() >= MIN_SECRET_BYTES).then(|| Key { number, secret: secret.to_vec() })
    }

    /// The number that datagrams name the key by.
    pub fn number(&self) -> u8 {
        self.number
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes a key of any length");
        mac.update(bytes);
        mac
    }
}

/// The key that seals, and other keys that are accepted for a limited time.
#[derive(Clone, Debug)]
pub struct KeySet {
    sealing: Key,
    /// Older or coming keys, each with the time until which it is accepted.
    accepted: Vec<(Key, Tenths)>,
}

impl KeySet {
    /// A set that accepts only the sealing key.
    pub fn new(sealing: Key) -> KeySet {
        KeySet { sealing, accepted: Vec::new() }
    }

    /// Seals with another key from now on and accepts the previous one until `old_until`. Does nothing if the
    /// key has the same number as the present one.
    pub fn rotate(&mut self, to: Key, old_until: Tenths) {
        if to.number != self.sealing.number {
            let old = std::mem::replace(&mut self.sealing, to);
            self.accepted.retain(|(key, _)| key.number != self.sealing.number && key.number != old.number);
            self.accepted.push((old, old_until));
        }
    }

    /// Accepts a key until `until` without sealing with it, for the time of a key rotation in which some
    /// instances already seal with it and others do not.
    pub fn accept(&mut self, key: Key, until: Tenths) {
        if key.number != self.sealing.number {
            self.accepted.retain(|(known, _)| known.number != key.number);
            self.accepted.push((key, until));
        }
    }

    /// The key of this number that is accepted at `now`.
    fn find(&self, now: Tenths, number: u8) -> Option<&Key> {
        let accepted =
            self.accepted.iter().find(|(key, until)| key.number == number && now < *until).map(|(k, _)| k);
        Some(&self.sealing).filter(|key| key.number == number).or(accepted)
    }
}

/// Why a datagram was dropped. The names appear in a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Too short or too long for a sealed datagram.
    Length,
    /// Not a sealed datagram.
    Foreign,
    /// The key's number is unknown or the key has expired.
    UnknownKey,
    /// The authentication code does not match.
    Forged,
    /// Addressed to another seat, or sent from an impossible one.
    WrongSeat,
    /// From an earlier process at the sender's seat.
    Earlier,
    /// Received before, or too old to tell.
    Replayed,
    /// Authentic, but the body is not a valid message.
    Garbled,
}

impl DropReason {
    /// All reasons, in order of declaration.
    pub const ALL: [DropReason; 8] = [
        DropReason::Length,
        DropReason::Foreign,
        DropReason::UnknownKey,
        DropReason::Forged,
        DropReason::WrongSeat,
        DropReason::Earlier,
        DropReason::Replayed,
        DropReason::Garbled,
    ];
}

/// The latest known process at another seat, and which of its datagrams were received.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    life: Life,
    /// The highest counter received.
    highest: u64,
    /// Bit n: the counter `highest - n` was received.
    received: u64,
}

/// An authentic datagram.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The sender's seat.
    pub from: Seat,
    /// The sender's life.
    pub life: Life,
    /// Whether it is addressed to this process, not to an earlier one at this seat. If not, it may be a replay
    /// of an old datagram, and only `Hello` and `Welcome` may be acted on.
    pub to_me: bool,
    /// The protocol version that the sender speaks.
    pub protocol: ProtocolVersion,
    /// The encoded message.
    pub body: &'a [u8],
}

/// Seals the datagrams that one process sends, and opens those that it receives.
pub struct Sealer {
    own_seat: Seat,
    life: Life,
    keys: KeySet,
    /// The counter of the last datagram sent, with the protocol version.
    sent: u64,
    /// By seat.
    peers: Vec<Peer>,
    /// Number of dropped datagrams, indexed by [`DropReason`].
    pub dropped: [u64; DropReason::ALL.len()],
}

fn bytes_at<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    std::array::from_fn(|i| bytes[at + i])
}

impl Sealer {
    /// A sealer for the process `life` at the seat `own_seat` of a group with `seats` seats.
    pub fn new(own_seat: Seat, life: Life, seats: u16, keys: KeySet) -> Sealer {
        let peers = vec![Peer::default(); usize::from(seats)];
        let sent = u64::from(ProtocolVersion::CURRENT.0) << PROTOCOL_SHIFT;
        Sealer { own_seat, life, keys, sent, peers, dropped: Default::default() }
    }

    /// The keys, to rotate or accept others.
    pub fn keys(&mut self) -> &mut KeySet {
        &mut self.keys
    }

    /// The latest known process at a seat, which datagrams to it are addressed to; 0 if unknown.
    pub fn peer_life(&self, seat: Seat) -> Life {
        self.peers.get(usize::from(seat.0)).map_or(Life(0), |peer| peer.life)
    }

    /// Other instances know a process at that seat. If it is later than the one known here, it replaces it.
    pub fn learn_peer_life(&mut self, seat: Seat, life: Life) {
        if let Some(peer) = self.peers.get_mut(usize::from(seat.0)).filter(|peer| peer.life < life) {
            *peer = Peer { life, ..Peer::default() };
        }
    }

    /// Raises the life of this process, because others know a higher one from an earlier process at this
    /// seat.
    pub fn set_own_life(&mut self, life: Life) {
        self.life = life;
    }

    /// Seals a body for the process known at a seat.
    pub fn seal(&mut self, to: Seat, body: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let mut bytes = Vec::with_capacity(SEAL_BYTES + body.len());
        bytes.extend([FORMAT_BYTE, self.keys.sealing.number, 0, 0]);
        bytes.extend(self.own_seat.0.to_le_bytes());
        bytes.extend(to.0.to_le_bytes());
        bytes.extend(self.life.0.to_le_bytes());
        bytes.extend(self.peer_life(to).0.to_le_bytes());
        bytes.extend(self.sent.to_le_bytes());
        bytes.extend(body);
        let code = self.keys.sealing.mac(&bytes).finalize().into_bytes();
        bytes.extend(&code[..CODE_BYTES]);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        bytes
    }

    /// Opens a datagram. If it must be dropped, counts the reason and returns `None`.
    pub fn open<'a>(&mut self, now: Tenths, bytes: &'a [u8]) -> Option<OpenedDatagram<'a>> {
        match self.verify(now, bytes) {
            Ok(opened) => Some(opened),
            Err(reason) => {
                self.count_dropped(reason);
                None
            }
        }
    }

    /// Counts a dropped datagram.
    pub fn count_dropped(&mut self, reason: DropReason) {
        self.dropped[reason as usize] += 1;
    }

    /// Checks a datagram, the cheap checks first, so that foreign datagrams cost little.
    fn verify<'a>(&mut self, now: Tenths, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, DropReason> {
        if !(SEAL_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
            return Err(DropReason::Length);
        }
        if bytes[0] != FORMAT_BYTE || bytes[2..4] != [0, 0] {
            return Err(DropReason::Foreign);
        }
        let from = Seat(u16::from_le_bytes(bytes_at(bytes, 4)));
        let to = Seat(u16::from_le_bytes(bytes_at(bytes, 6)));
        let life = Life(u64::from_le_bytes(bytes_at(bytes, 8)));
        let to_life = Life(u64::from_le_bytes(bytes_at(bytes, 16)));
        let counter = u64::from_le_bytes(bytes_at(bytes, 24));
        if to != self.own_seat
            || from == self.own_seat
            || usize::from(from.0) >= self.peers.len()
            || life == Life(0)
        {
            return Err(DropReason::WrongSeat);
        }
        let key = self.keys.find(now, bytes[1]).ok_or(DropReason::UnknownKey)?;
        let (sealed, code) = bytes.split_at(bytes.len() - CODE_BYTES);
        key.mac(sealed).verify_truncated_left(code).map_err(|_| DropReason::Forged)?;
        let to_me = to_life == self.life;
        let protocol = ProtocolVersion((counter >> PROTOCOL_SHIFT) as u8);
        let opened = OpenedDatagram { from, life, to_me, protocol, body: &sealed[HEADER_BYTES..] };
        // A datagram to an earlier process here may be a replay, so it must not change what is known of the
        // sender. The caller only answers it.
        if !opened.to_me {
            return Ok(opened);
        }
        self.peers[usize::from(from.0)].receive(life, counter)?;
        Ok(opened)
    }
}

impl Peer {
    /// Records a datagram of the process `life`. Fails if that process is not the latest known or the counter
    /// was received before.
    fn receive(&mut self, life: Life, counter: u64) -> Result<(), DropReason> {
        if life < self.life {
            return Err(DropReason::Earlier);
        }
        if life > self.life {
            *self = Peer { life, highest: 0, received: 0 };
        }
        if counter > self.highest {
            let ahead = counter - self.highest;
            let shifted = if ahead < REPLAY_WINDOW { self.received << ahead } else { 0 };
            self.received = shifted | 1;
            self.highest = counter;
            return Ok(());
        }
        let behind = self.highest - counter;
        if counter == 0 || behind >= REPLAY_WINDOW || self.received & (1 << behind) != 0 {
            return Err(DropReason::Replayed);
        }
        self.received |= 1 << behind;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use rstest::rstest;

    use super::*;

    const NOW: Tenths = Tenths(1000);

    fn key(number: u8) -> Key {
        Key::new(number, &[number; 32]).unwrap()
    }

    /// Two processes at seats 0 and 1, of which the first knows the second.
    fn pair() -> (Sealer, Sealer) {
        let sealer = |seat, life| Sealer::new(Seat(seat), Life(life), 3, KeySet::new(key(1)));
        let (mut a, b) = (sealer(0, 10), sealer(1, 20));
        a.learn_peer_life(Seat(1), Life(20));
        (a, b)
    }

    /// Opens a datagram that must be dropped, and returns the reason that was counted.
    fn drop_reason(sealer: &mut Sealer, bytes: &[u8]) -> Option<DropReason> {
        let before = sealer.dropped;
        assert!(sealer.open(NOW, bytes).is_none());
        DropReason::ALL.into_iter().find(|d| sealer.dropped[*d as usize] > before[*d as usize])
    }

    #[rstest]
    fn datagrams_are_accepted_once_in_any_order() {
        let (mut a, mut b) = pair();
        let sent: Vec<_> = (0..70u8).map(|n| a.seal(Seat(1), &[n])).collect();
        for n in [3, 1, 2, 69, 50] {
            assert_eq!(b.open(NOW, &sent[n]).unwrap().body, [n as u8]);
            assert_eq!(drop_reason(&mut b, &sent[n]), Some(DropReason::Replayed));
        }
        let oldest = drop_reason(&mut b, &sent[0]);
        assert_eq!(oldest, Some(DropReason::Replayed), "outside the replay window");
    }

    #[rstest]
    fn datagrams_from_or_to_an_earlier_process_are_not_accepted() {
        let (mut a, mut b) = pair();
        let old = a.seal(Seat(1), b"old");
        let mut restarted_a = Sealer::new(Seat(0), Life(11), 3, KeySet::new(key(1)));
        restarted_a.learn_peer_life(Seat(1), Life(20));
        assert!(b.open(NOW, &restarted_a.seal(Seat(1), b"new")).unwrap().to_me);
        assert_eq!(drop_reason(&mut b, &old), Some(DropReason::Earlier));
        let mut restarted_b = Sealer::new(Seat(1), Life(21), 3, KeySet::new(key(1)));
        assert!(!restarted_b.open(NOW, &old).unwrap().to_me);
    }

    #[rstest]
    fn the_protocol_version_of_the_sender_is_known() {
        let (mut a, mut b) = pair();
        let current = a.seal(Seat(1), b"");
        assert_eq!(b.open(NOW, &current).unwrap().protocol, ProtocolVersion::CURRENT);
        let mut older = Sealer { life: Life(11), sent: 0, ..pair().0 };
        let consecutive = older.seal(Seat(1), b"");
        assert_eq!(b.open(NOW, &consecutive).unwrap().protocol, ProtocolVersion::CONSECUTIVE);
    }

    #[rstest]
    fn keys_are_rotated_under_traffic() {
        let (mut a, mut b) = pair();
        b.keys().accept(key(2), Tenths(5000));
        a.keys().rotate(key(2), Tenths(5000));
        assert!(b.open(NOW, &a.seal(Seat(1), b"new key")).is_some());
        assert!(a.open(NOW, &b.seal(Seat(0), b"old key")).is_some());
        let late = b.seal(Seat(0), b"old key");
        assert!(a.open(Tenths(5000), &late).is_none());
        let unknown_key = Sealer::new(Seat(0), Life(10), 3, KeySet::new(key(3))).seal(Seat(1), b"");
        assert_eq!(drop_reason(&mut b, &unknown_key), Some(DropReason::UnknownKey));
    }

    #[rstest]
    fn every_flipped_bit_is_detected() {
        let (mut a, mut b) = pair();
        let bytes = a.seal(Seat(1), b"abc");
        for bit in 0..bytes.len() * 8 {
            let mut forged = bytes.clone();
            forged[bit / 8] ^= 1 << (bit % 8);
            assert!(b.open(NOW, &forged).is_none(), "bit {bit}");
        }
        assert!(b.open(NOW, &bytes).is_some());
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let (_, mut b) = pair();
            prop_assert!(b.open(NOW, &bytes).is_none());
        }
    }
}
