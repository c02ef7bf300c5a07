//! The phases of the program from start to exit, as states of one object. It knows which may follow which
//! and when; it never touches a socket: the reducer moves it, the shell carries out what a new state asks.

use stagepond::host::Tenths;

/// Clients go on connecting for up to 0.4 s after the signal; the rest is for a busy machine.
pub const LEAVING_FOR: Tenths = Tenths::ms(600);
/// How long answers that are written but not yet read may keep the program.
pub const FLUSH_FOR: Tenths = Tenths::ms(500);
/// With a list from before the start only, this long is enough to hear from an agent on the same machine.
pub const OLD_LIST_AFTER: Tenths = Tenths::ms(500);

/// A file that is being replaced is whole again within moments.
const REREAD_AFTER: Tenths = Tenths::ms(200);
/// Then it was not being replaced but is wrong, and only another signal can mean that it has changed.
const REREADS: u32 = 25;

/// The configuration read once more after a signal: again and again while it can't be read, to a bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rereading {
    left: u32,
    at: Option<Tenths>,
}

impl Rereading {
    pub fn begin(&mut self) {
        (self.left, self.at) = (REREADS, None);
    }

    pub fn done(&mut self) {
        (self.left, self.at) = (0, None);
    }

    /// Whether it is to be tried again.
    pub fn failed(&mut self, now: Tenths) -> bool {
        self.left = self.left.saturating_sub(1);
        self.at = (self.left > 0).then_some(now + REREAD_AFTER);
        self.at.is_some()
    }

    /// True once for each further try.
    pub fn due(&mut self, now: Tenths) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }

    pub fn next(&self) -> Tenths {
        self.at.unwrap_or(Tenths::NEVER)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not ready: the list of pods is still old.
    Starting,
    Ready,
    /// Told to stop: idle connections go, new ones are still taken, for one invocation each.
    Leaving,
    /// The listener is closed; what was taken is being answered.
    Draining,
    Stopped,
}

#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    state: State,
    since: Tenths,
    busy_at: Tenths,
    closing: bool,
    waited: bool,
}

impl Lifecycle {
    pub fn new(now: Tenths) -> Lifecycle {
        Lifecycle { state: State::Starting, since: now, busy_at: now, closing: false, waited: false }
    }

    fn enter(&mut self, state: State, now: Tenths) -> Option<State> {
        (self.state, self.since, self.busy_at) = (state, now, now);
        Some(state)
    }

    /// With pods `known` from a fresh list, or from an old one once a fresh one has had its time to come.
    pub fn may_place(&mut self, now: Tenths, known: bool, fresh: bool) -> Option<State> {
        self.waited |= now >= self.since + OLD_LIST_AFTER;
        let may = self.state == State::Starting && known && (fresh || self.waited);
        may.then(|| self.enter(State::Ready, now)).flatten()
    }

    pub fn leave(&mut self, now: Tenths) -> Option<State> {
        let awake = matches!(self.state, State::Starting | State::Ready);
        awake.then(|| self.enter(State::Leaving, now)).flatten()
    }

    pub fn listener_closed(&mut self, now: Tenths) -> Option<State> {
        (self.state == State::Leaving).then(|| self.enter(State::Draining, now)).flatten()
    }

    /// `open` invocations are still owed an answer, `connected` tells whether a client's connection stands.
    pub fn settle(&mut self, now: Tenths, open: usize, connected: bool) -> Option<State> {
        if open > 0 {
            self.busy_at = now;
        }
        let done = open == 0 && (!connected || now >= self.busy_at + FLUSH_FOR);
        (self.state == State::Draining && done).then(|| self.enter(State::Stopped, now)).flatten()
    }

    /// True once: the listener has been open for long enough since the signal.
    pub fn listened_enough(&mut self, now: Tenths) -> bool {
        let enough = self.state == State::Leaving && !self.closing && now >= self.since + LEAVING_FOR;
        self.closing |= enough;
        enough
    }

    /// When time alone moves it on.
    pub fn next(&self) -> Tenths {
        match self.state {
            State::Starting if !self.waited => self.since + OLD_LIST_AFTER,
            State::Leaving if !self.closing => self.since + LEAVING_FOR,
            State::Draining => self.busy_at + FLUSH_FOR,
            _ => Tenths::NEVER,
        }
    }
}
