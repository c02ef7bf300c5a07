//! True time and the clocks that instances read. It owns the queue of what is still to happen, in the order of
//! time and then of entry; it must never look at the machine's clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stagepond_leadership::ids::Tenths;

struct Due<E> {
    at: Tenths,
    nth: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.nth) == (other.at, other.nth)
    }
}
impl<E> Eq for Due<E> {}
impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.nth).cmp(&(other.at, other.nth))
    }
}

/// What is still to happen.
pub struct Queue<E> {
    now: Tenths,
    nth: u64,
    due: BinaryHeap<Reverse<Due<E>>>,
}

impl<E> Queue<E> {
    pub fn new(now: Tenths) -> Queue<E> {
        Queue { now, nth: 0, due: BinaryHeap::new() }
    }

    pub fn now(&self) -> Tenths {
        self.now
    }

    pub fn put(&mut self, at: Tenths, event: E) {
        self.nth += 1;
        self.due.push(Reverse(Due { at: at.max(self.now), nth: self.nth, event }));
    }

    /// The next event, if there is one before `until`; time moves to it.
    pub fn next(&mut self, until: Tenths) -> Option<E> {
        if self.due.peek().is_none_or(|Reverse(due)| due.at >= until) {
            self.now = until;
            return None;
        }
        let Reverse(due) = self.due.pop()?;
        self.now = due.at;
        Some(due.event)
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}

/// One machine's clock: runs at its own rate and can be stepped.
#[derive(Clone, Copy, Debug)]
pub struct LocalClock {
    at: Tenths,
    shows: Tenths,
    rate: f64,
}

impl LocalClock {
    pub fn new(at: Tenths, shows: Tenths, rate: f64) -> LocalClock {
        LocalClock { at, shows, rate }
    }

    pub fn shows(&self, now: Tenths) -> Tenths {
        self.shows + Tenths(((now - self.at).0 as f64 * self.rate).floor() as i64)
    }

    /// The first true moment at which it shows this.
    pub fn when(&self, shows: Tenths) -> Tenths {
        let ahead = ((shows - self.shows).0 as f64 / self.rate).ceil();
        self.at + Tenths(ahead.clamp(-1e15, 1e15) as i64 + 1)
    }

    pub fn step(&mut self, now: Tenths, by: Tenths) {
        (self.shows, self.at) = (self.shows(now) + by, now);
    }
}
