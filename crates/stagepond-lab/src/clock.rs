//! Virtual time for simulations: an event queue that advances true time, and local clocks that drift from it.
//! Nothing here reads the machine's clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stagepond_leadership::ids::Tenths;

/// An event with its due time and its insertion number.
struct ScheduledEvent<E> {
    at: Tenths,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl<E> Eq for ScheduledEvent<E> {}
impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Pending events, ordered by due time; events due at the same time are returned in insertion order.
pub struct EventQueue<E> {
    now: Tenths,
    last_sequence: u64,
    pending: BinaryHeap<Reverse<ScheduledEvent<E>>>,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue whose virtual time starts at `now`.
    pub fn new(now: Tenths) -> EventQueue<E> {
        EventQueue { now, last_sequence: 0, pending: BinaryHeap::new() }
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Tenths {
        self.now
    }

    /// Schedules an event; a due time in the past is moved to the current time.
    pub fn schedule(&mut self, at: Tenths, event: E) {
        self.last_sequence += 1;
        self.pending.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Removes the next event due before `until` and advances time to it. If there is none, advances time to
    /// `until` and returns `None`.
    pub fn pop_before(&mut self, until: Tenths) -> Option<E> {
        if self.pending.peek().is_none_or(|Reverse(next)| next.at >= until) {
            self.now = until;
            return None;
        }
        let Reverse(next) = self.pending.pop()?;
        self.now = next.at;
        Some(next.event)
    }

    /// Returns how many events are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// The clock of one simulated machine, which runs at its own rate and can be stepped.
#[derive(Clone, Copy, Debug)]
pub struct LocalClock {
    /// True time at which the clock was last set.
    set_at: Tenths,
    /// What the clock showed at `set_at`.
    reading: Tenths,
    /// Local time that passes per unit of true time.
    rate: f64,
}

impl LocalClock {
    /// Creates a clock that shows `reading` at the true time `at` and runs at `rate`.
    pub fn new(at: Tenths, reading: Tenths, rate: f64) -> LocalClock {
        LocalClock { set_at: at, reading, rate }
    }

    /// Returns what the clock shows at the true time `now`.
    pub fn reading_at(&self, now: Tenths) -> Tenths {
        self.reading + Tenths(((now - self.set_at).0 as f64 * self.rate).floor() as i64)
    }

    /// Returns the first true time at which the clock shows `reading`, rounded up so that it is never too
    /// early.
    pub fn first_time_showing(&self, reading: Tenths) -> Tenths {
        let ahead = ((reading - self.reading).0 as f64 / self.rate).ceil();
        self.set_at + Tenths(ahead.clamp(-1e15, 1e15) as i64 + 1)
    }

    /// Moves the clock by `by` (negative: backwards) at the true time `now`.
    pub fn step(&mut self, now: Tenths, by: Tenths) {
        (self.reading, self.set_at) = (self.reading_at(now) + by, now);
    }
}
