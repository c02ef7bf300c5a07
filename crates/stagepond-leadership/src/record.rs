//! What was decided: entries, the state that they add up to, and the part of it that is in force. It owns the
//! order of decrees and the bounds on them; it must never change or drop one that is in force.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::bounds::VOTERS_MAX;
use crate::ids::*;

/// Who votes. While a change is on its way, both the set before it and the set after it must agree (Raft,
/// section 6): one voter makes room for one other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters {
    pub now: Vec<Voter>,
    /// Who goes, and who comes instead.
    pub change: Option<(Voter, Voter)>,
}

impl Voters {
    pub fn of(now: Vec<Voter>) -> Voters {
        Voters { now, change: None }
    }

    /// The set that a change leads to; the set itself where none is on its way.
    pub fn after(&self) -> Vec<Voter> {
        let mut after = self.now.clone();
        if let Some((out, new)) = self.change {
            after.retain(|v| *v != out);
            after.push(new);
            after.sort();
        }
        after
    }

    pub fn has(&self, voter: &Voter) -> bool {
        self.now.contains(voter) || self.change.is_some_and(|(_, new)| new == *voter)
    }

    pub fn all(&self) -> impl Iterator<Item = Voter> + '_ {
        self.now.iter().copied().chain(self.change.map(|(_, new)| new))
    }

    /// Whether those who agree are a quorum of each set that must.
    pub fn quorum(&self, agrees: impl Fn(&Voter) -> bool) -> bool {
        let most = |set: &[Voter]| set.iter().filter(|v| agrees(v)).count() * 2 > set.len();
        most(&self.now) && (self.change.is_none() || most(&self.after()))
    }

    fn sound(&self) -> bool {
        let fits = |(out, new): (Voter, Voter)| self.now.contains(&out) && !self.now.contains(&new);
        !self.now.is_empty() && self.now.len() <= VOTERS_MAX && self.change.is_none_or(fits)
    }
}

/// How a vote of the release judge is worded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Voice {
    On,
    Hold,
    Back,
    Withdrawn,
}

/// What can be decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Decree {
    /// A leader's first: all before it is known to be in force once this is.
    Opening,
    Voters(Voters),
    Vote {
        build: u16,
        stage: u32,
        voice: Voice,
    },
    /// A trial may have this share of the traffic, in millionths.
    Widen {
        build: u16,
        stage: u32,
        share: u32,
    },
    /// While frozen, the share of a build's trial does not grow.
    Freeze {
        build: u16,
        frozen: bool,
    },
}

/// What a decree is about: a later one about the same replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    Vote { build: u16, stage: u32 },
    Widen { build: u16 },
    Freeze { build: u16 },
}

impl Decree {
    pub fn subject(&self) -> Option<Subject> {
        match *self {
            Decree::Opening | Decree::Voters(_) => None,
            Decree::Vote { build, stage, .. } => Some(Subject::Vote { build, stage }),
            Decree::Widen { build, .. } => Some(Subject::Widen { build }),
            Decree::Freeze { build, .. } => Some(Subject::Freeze { build }),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub number: Number,
    /// The leader that it was decided under.
    pub holder: Seat,
    pub decree: Decree,
}

/// What a run of decrees adds up to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Standing {
    pub term: Term,
    pub number: Number,
    pub voters: Voters,
    pub subjects: BTreeMap<Subject, Entry>,
}

/// Subjects that are remembered; the one decided longest ago makes room.
pub const SUBJECTS_MAX: usize = 48;
/// Entries in force that are kept one by one, so that one who lacks a few needs no whole state.
pub const ENTRIES_KEPT: usize = 32;
/// Entries that wait for a quorum: beyond it commands are refused.
pub const ENTRIES_WAITING: usize = 64;

impl Standing {
    fn take(&mut self, entry: &Entry) {
        (self.term, self.number) = (entry.term, entry.number);
        if let Decree::Voters(voters) = &entry.decree {
            self.voters = voters.clone();
        }
        if let Some(subject) = entry.decree.subject() {
            self.subjects.insert(subject, entry.clone());
            if self.subjects.len() > SUBJECTS_MAX {
                let oldest = self.subjects.iter().min_by_key(|(_, e)| e.number).map(|(s, _)| *s);
                oldest.map(|s| self.subjects.remove(&s));
            }
        }
    }

    /// Read from elsewhere: within the bounds that this program keeps.
    pub fn sound(&self) -> bool {
        let voters = self.voters == Voters::default() || self.voters.sound();
        voters && self.subjects.len() <= SUBJECTS_MAX
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// All up to `base.number`, folded.
    base: Standing,
    entries: VecDeque<Entry>,
    /// All up to what is in force.
    force: Standing,
}

impl Record {
    pub fn last(&self) -> (Term, Number) {
        self.entries.back().map_or((self.base.term, self.base.number), |e| (e.term, e.number))
    }
    pub fn in_force(&self) -> &Standing {
        &self.force
    }
    pub fn commit(&self) -> Number {
        self.force.number
    }
    pub fn base(&self) -> Number {
        self.base.number
    }

    fn place(&self, number: Number) -> Option<usize> {
        let at = number.0.checked_sub(self.base.number.0 + 1)? as usize;
        (at < self.entries.len()).then_some(at)
    }

    pub fn entry(&self, number: Number) -> Option<&Entry> {
        self.place(number).map(|at| &self.entries[at])
    }

    /// The term of the entry at this place, where it is still known.
    pub fn term_at(&self, number: Number) -> Option<Term> {
        if number == self.base.number {
            return Some(self.base.term);
        }
        self.entry(number).map(|e| e.term)
    }

    /// The newest set of voters, in force or not, and the place at which it stands: Raft goes by the newest
    /// one that a log holds.
    pub fn voters(&self) -> (&Voters, Term) {
        let newest = self.entries.iter().rev().find_map(|e| match &e.decree {
            Decree::Voters(voters) => Some((voters, e.term)),
            _ => None,
        });
        newest.unwrap_or((&self.base.voters, self.base.term))
    }

    /// Whether a set of voters still waits for its quorum.
    pub fn voters_waiting(&self) -> bool {
        let waits = |e: &Entry| e.number > self.force.number && matches!(e.decree, Decree::Voters(_));
        self.entries.iter().any(waits)
    }

    pub fn waiting(&self) -> usize {
        (self.last().1 .0 - self.force.number.0) as usize
    }

    pub fn after(&self, number: Number) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| e.number > number)
    }

    /// A leader's own.
    pub fn append(&mut self, term: Term, holder: Seat, decree: Decree) -> Number {
        let number = self.last().1.next();
        self.entries.push_back(Entry { term, number, holder, decree });
        number
    }

    /// A follower's: puts it where it belongs, and drops what stood there from another term together with all
    /// behind it. True if something changed. One in force is never touched.
    pub fn put(&mut self, entry: Entry) -> bool {
        if entry.number <= self.force.number || entry.number > self.last().1.next() {
            return false;
        }
        if let Some(at) = self.place(entry.number) {
            if self.entries[at].term == entry.term {
                return false;
            }
            self.entries.truncate(at);
        }
        self.entries.push_back(entry);
        true
    }

    /// All up to here is in force; returns what newly is, in order.
    pub fn enforce(&mut self, up_to: Number) -> Vec<Entry> {
        let from = self.force.number;
        let new: Vec<Entry> =
            self.entries.iter().filter(|e| e.number > from && e.number <= up_to).cloned().collect();
        new.iter().for_each(|entry| self.force.take(entry));
        while self.entries.len() > ENTRIES_KEPT && self.entries[0].number <= self.force.number {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.base.take(&oldest);
        }
        new
    }

    /// Takes over one in force from somebody who has it: what waited here at its place can't come into force.
    pub fn adopt(&mut self, entry: Entry) -> Vec<Entry> {
        let number = entry.number;
        if number != self.force.number.next() {
            return Vec::new();
        }
        self.put(entry);
        self.enforce(number)
    }

    /// Takes over a whole state in force. False if it is no newer than what is here.
    pub fn replace(&mut self, standing: Standing) -> bool {
        if !standing.sound() || (standing.term, standing.number) <= (self.force.term, self.force.number) {
            return false;
        }
        let same = self.term_at(standing.number) == Some(standing.term);
        self.entries.retain(|e| same && e.number > standing.number);
        self.base = standing.clone();
        self.force = standing;
        true
    }

    pub fn sound(&self) -> bool {
        let mut last = self.base.number;
        let runs = self.entries.iter().all(|e| std::mem::replace(&mut last, e.number).next() == e.number);
        runs && self.base.sound()
            && self.force.sound()
            && self.force.number >= self.base.number
            && self.force.number <= last
            && self.entries.len() <= ENTRIES_KEPT + ENTRIES_WAITING + 1
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn vote(build: u16) -> Decree {
        Decree::Vote { build, stage: 1, voice: Voice::On }
    }

    #[rstest]
    fn what_waits_gives_way_and_what_is_in_force_does_not() {
        let mut record = Record::default();
        for build in 1..=3 {
            record.append(Term(1), Seat(0), vote(build));
        }
        assert_eq!(record.enforce(Number(2)).len(), 2);
        let other =
            |number| Entry { term: Term(2), number: Number(number), holder: Seat(1), decree: vote(9) };
        assert!(!record.put(other(2)), "in force");
        assert!(record.put(other(3)));
        assert_eq!(record.last(), (Term(2), Number(3)));
        assert!(!record.put(other(5)), "a gap");
    }

    #[rstest]
    fn the_record_is_bounded_and_a_whole_state_says_the_same() {
        let mut record = Record::default();
        for build in 0..1000 {
            let number = record.append(Term(1), Seat(0), vote(build));
            record.enforce(number);
        }
        assert!(record.sound() && record.entries.len() <= ENTRIES_KEPT);
        assert_eq!(record.in_force().subjects.len(), SUBJECTS_MAX);
        let mut late = Record::default();
        assert!(late.replace(record.in_force().clone()));
        assert_eq!(late.in_force(), record.in_force());
        assert!(!late.replace(record.in_force().clone()), "no newer");
    }

    #[rstest]
    fn on_the_way_from_one_set_to_another_both_must_agree() {
        let voter = |seat| Voter { seat: Seat(seat), memory: Memory(7) };
        let voters = Voters { now: vec![voter(0), voter(1), voter(2)], change: Some((voter(0), voter(3))) };
        let quorum = |seats: &[u16]| voters.quorum(|v| seats.contains(&v.seat.0));
        assert!(!quorum(&[0, 1]) && !quorum(&[2, 3]) && quorum(&[1, 2]) && quorum(&[0, 1, 3]));
    }
}
