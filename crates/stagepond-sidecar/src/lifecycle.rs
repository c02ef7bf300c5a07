//! Lifecycle of the program from start to exit.
//!
//! [`Lifecycle`] knows which state may follow which, and when. It touches no socket: the reducer drives it,
//! and the event loop does what a new state requires.

use stagepond::host::Tenths;

/// How long the listener stays open after the shutdown signal. Clients keep connecting for up to 0.4 s after
/// it; the rest is a margin for a busy machine.
pub const LISTEN_AFTER_SHUTDOWN: Tenths = Tenths::ms(600);
/// How long answers that are written but not yet read by their clients may delay the exit.
pub const ANSWER_FLUSH_TIMEOUT: Tenths = Tenths::ms(500);
/// How long to wait for a pod list from discovery before the list in the configuration is used. The agent is
/// on the same machine and answers within this time.
pub const FRESH_LIST_TIMEOUT: Tenths = Tenths::ms(500);

/// Delay before a configuration file that could not be read is read again. A file that is being replaced is
/// complete within moments.
const CONFIG_RETRY_DELAY: Tenths = Tenths::ms(200);
/// Reads after one reload signal. A file that is still invalid after that is not being replaced but wrong,
/// and only another signal can mean that it has changed.
const MAX_CONFIG_READS: u32 = 25;

/// Retries of reading the configuration after a reload signal.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigRetry {
    reads_left: u32,
    retry_at: Option<Tenths>,
}

impl ConfigRetry {
    /// Restarts with the first read after a signal.
    pub fn start(&mut self) {
        self.reads_left = MAX_CONFIG_READS;
        self.retry_at = None;
    }

    /// Ends the retries: the configuration was read.
    pub fn finish(&mut self) {
        self.reads_left = 0;
        self.retry_at = None;
    }

    /// Records a failed read. Returns whether another one is scheduled.
    pub fn record_failure(&mut self, now: Tenths) -> bool {
        self.reads_left = self.reads_left.saturating_sub(1);
        self.retry_at = (self.reads_left > 0).then_some(now + CONFIG_RETRY_DELAY);
        self.retry_at.is_some()
    }

    /// Returns true once for each scheduled read, when it is due.
    pub fn take_due(&mut self, now: Tenths) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }

    /// When the next read is due.
    pub fn next_due(&self) -> Tenths {
        self.retry_at.unwrap_or(Tenths::NEVER)
    }
}

/// State of the program, logged under its variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not ready: there is no pod yet, or only the list of the configuration.
    Starting,
    /// Invocations are accepted and dispatched.
    Ready,
    /// Shutdown was requested: idle connections are closed; new ones are accepted, for one invocation each.
    Leaving,
    /// The listener is closed; invocations that were accepted are still answered.
    Draining,
    /// The program exits.
    Stopped,
}

/// State machine of the program's lifecycle. Methods that may change the state return the new one.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    state: State,
    entered_at: Tenths,
    /// When an invocation was last unanswered, or the state was entered.
    last_busy_at: Tenths,
    /// The listener has been asked to close.
    listener_closing: bool,
    /// [`FRESH_LIST_TIMEOUT`] has passed.
    list_timed_out: bool,
}

impl Lifecycle {
    /// Starts in [`State::Starting`].
    pub fn new(now: Tenths) -> Lifecycle {
        Lifecycle {
            state: State::Starting,
            entered_at: now,
            last_busy_at: now,
            listener_closing: false,
            list_timed_out: false,
        }
    }

    fn enter(&mut self, state: State, now: Tenths) -> Option<State> {
        self.state = state;
        self.entered_at = now;
        self.last_busy_at = now;
        Some(state)
    }

    /// Becomes ready if pods are known, from a fresh list or, after [`FRESH_LIST_TIMEOUT`], from an old one.
    pub fn try_become_ready(&mut self, now: Tenths, pods_known: bool, fresh_list: bool) -> Option<State> {
        self.list_timed_out |= now >= self.entered_at + FRESH_LIST_TIMEOUT;
        let can_dispatch = pods_known && (fresh_list || self.list_timed_out);
        (self.state == State::Starting && can_dispatch).then(|| self.enter(State::Ready, now)).flatten()
    }

    /// Starts the shutdown, unless it has started.
    pub fn begin_shutdown(&mut self, now: Tenths) -> Option<State> {
        let running = matches!(self.state, State::Starting | State::Ready);
        running.then(|| self.enter(State::Leaving, now)).flatten()
    }

    /// Starts to drain: the listener is closed, and every queued connection was accepted.
    pub fn listener_closed(&mut self, now: Tenths) -> Option<State> {
        (self.state == State::Leaving).then(|| self.enter(State::Draining, now)).flatten()
    }

    /// Stops once no invocation is unanswered and either no client is connected or [`ANSWER_FLUSH_TIMEOUT`]
    /// has passed.
    pub fn try_stop(&mut self, now: Tenths, unanswered: usize, clients_connected: bool) -> Option<State> {
        if unanswered > 0 {
            self.last_busy_at = now;
        }
        let done = unanswered == 0 && (!clients_connected || now >= self.last_busy_at + ANSWER_FLUSH_TIMEOUT);
        (self.state == State::Draining && done).then(|| self.enter(State::Stopped, now)).flatten()
    }

    /// Returns true once, when the listener has been open for [`LISTEN_AFTER_SHUTDOWN`] since the signal.
    pub fn take_listener_close(&mut self, now: Tenths) -> bool {
        let due = self.state == State::Leaving
            && !self.listener_closing
            && now >= self.entered_at + LISTEN_AFTER_SHUTDOWN;
        self.listener_closing |= due;
        due
    }

    /// When the state may next change without an input.
    pub fn next_due(&self) -> Tenths {
        match self.state {
            State::Starting if !self.list_timed_out => self.entered_at + FRESH_LIST_TIMEOUT,
            State::Leaving if !self.listener_closing => self.entered_at + LISTEN_AFTER_SHUTDOWN,
            State::Draining => self.last_busy_at + ANSWER_FLUSH_TIMEOUT,
            _ => Tenths::NEVER,
        }
    }
}
