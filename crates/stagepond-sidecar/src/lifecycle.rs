//! Lifecycle of the program from start to exit.
//!
//! [`Lifecycle`] knows which state may follow which, and when. It touches no socket: the reducer drives it,
//! and the event loop does what a new state requires.

use stagepond::host::Tenths;

/// How long the listener stays open after the shutdown signal. Clients keep connecting for up to 0.4 s after
/// it; the rest is a margin for a busy machine.
pub const LISTEN_AFTER_SHUTDOWN: Tenths = Tenths::ms(600);
/// How long the listener may take to close before the shutdown goes on without it. It accepts what waits in its
/// queue first, which takes long only while every place for a client is taken.
const LISTENER_CLOSE_TIMEOUT: Tenths = Tenths::ms(20);
/// How long answers that are written but not yet read by their clients may delay the exit.
pub const ANSWER_FLUSH_TIMEOUT: Tenths = Tenths::ms(500);
/// The platform kills the process at the earliest when the longest time limit and this time have passed since
/// the shutdown signal (PROTOCOL.md, "Figures").
const KILL_AFTER_TIME_LIMIT: Tenths = Tenths::ms(700);
/// Longer time limits count as this long for the kill.
const MAX_COUNTED_TIME_LIMIT: Tenths = Tenths::ms(3000);
/// Idle connections are closed this long before the kill.
const IDLE_CLOSE_BEFORE_KILL: Tenths = Tenths::ms(600);
/// Whatever is unanswered is answered this long before the kill.
const ANSWERS_DUE_BEFORE_KILL: Tenths = Tenths::ms(250);
/// Clients that have not read their answers no longer delay the exit this long before the kill. A process that
/// is held up for up to 0.15 s still exits by itself.
const EXIT_BEFORE_KILL: Tenths = Tenths::ms(150);
/// How long an answer delays the exit at least, so that it is written: the connection ends right after it.
const MIN_ANSWER_FLUSH_TIME: Tenths = Tenths::ms(100);
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

/// When the steps of a shutdown are due.
#[derive(Clone, Copy, Debug)]
struct ShutdownSchedule {
    listener_close_at: Tenths,
    idle_close_at: Tenths,
    answers_due_at: Tenths,
    exit_at: Tenths,
}

impl ShutdownSchedule {
    fn new(signal_at: Tenths, longest_time_limit: Tenths) -> ShutdownSchedule {
        let time_limit = match longest_time_limit {
            Tenths(0) => MAX_COUNTED_TIME_LIMIT,
            known => known.min(MAX_COUNTED_TIME_LIMIT),
        };
        let kill_at = signal_at + time_limit + KILL_AFTER_TIME_LIMIT;
        ShutdownSchedule {
            listener_close_at: signal_at + LISTEN_AFTER_SHUTDOWN,
            idle_close_at: kill_at - IDLE_CLOSE_BEFORE_KILL,
            answers_due_at: kill_at - ANSWERS_DUE_BEFORE_KILL,
            exit_at: kill_at - EXIT_BEFORE_KILL,
        }
    }
}

/// State of the program, logged under its variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not ready: there is no pod yet, or only the list of the configuration.
    Starting,
    /// Invocations are accepted and dispatched.
    Ready,
    /// Shutdown was requested: connections, new ones too, are served on, and each closes with its next answer.
    Leaving,
    /// The listener is closed; the connections that are still open are served as before.
    Draining,
    /// Idle connections are closed; invocations that were accepted are still answered. The listener may be open
    /// still, if connections wait in its queue for a place.
    Closing,
    /// The program exits.
    Stopped,
}

/// State machine of the program's lifecycle. Methods that may change the state return the new one.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    state: State,
    entered_at: Tenths,
    /// Longest time that a client waits for its answer; zero if it is not known.
    longest_time_limit: Tenths,
    /// Set by the shutdown signal.
    shutdown: Option<ShutdownSchedule>,
    /// Whether an invocation is unanswered.
    busy: bool,
    /// When an invocation was last unanswered, or the state was entered.
    last_busy_at: Tenths,
    /// [`Lifecycle::take_answers_due`] has returned true.
    answers_taken: bool,
    /// When the listener was asked to close.
    listener_closing_since: Option<Tenths>,
    /// [`FRESH_LIST_TIMEOUT`] has passed.
    list_timed_out: bool,
}

impl Lifecycle {
    /// Starts in [`State::Starting`]. `longest_time_limit` is the longest time that a client waits for its
    /// answer, or zero if that is not known; the shutdown takes no longer than the platform allows for it.
    pub fn new(now: Tenths, longest_time_limit: Tenths) -> Lifecycle {
        Lifecycle {
            state: State::Starting,
            entered_at: now,
            longest_time_limit,
            shutdown: None,
            busy: false,
            last_busy_at: now,
            answers_taken: false,
            listener_closing_since: None,
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
        if !matches!(self.state, State::Starting | State::Ready) {
            return None;
        }
        self.shutdown = Some(ShutdownSchedule::new(now, self.longest_time_limit));
        self.enter(State::Leaving, now)
    }

    /// Starts to drain: the listener is closed, and every queued connection was accepted.
    pub fn listener_closed(&mut self, now: Tenths) -> Option<State> {
        (self.state == State::Leaving).then(|| self.enter(State::Draining, now)).flatten()
    }

    /// Starts to close idle connections when that is due, whether or not the listener has closed by then.
    pub fn try_close_idle(&mut self, now: Tenths) -> Option<State> {
        (now >= self.idle_close_due()).then(|| self.enter(State::Closing, now)).flatten()
    }

    /// When idle connections are due to be closed next.
    fn idle_close_due(&self) -> Tenths {
        let idle_close_at = self.schedule_or_never(|schedule| schedule.idle_close_at);
        match (self.state, self.listener_closing_since) {
            (State::Draining, _) => idle_close_at,
            (State::Leaving, Some(since)) => idle_close_at.max(since + LISTENER_CLOSE_TIMEOUT),
            _ => Tenths::NEVER,
        }
    }

    /// Stops once no invocation is unanswered and no client is connected. Clients that stay connected, because
    /// they do not read their answers or do not finish what they send, delay the exit for
    /// [`ANSWER_FLUSH_TIMEOUT`] at most, and near the kill for [`MIN_ANSWER_FLUSH_TIME`] only.
    pub fn try_stop(&mut self, now: Tenths, unanswered: usize, clients_connected: bool) -> Option<State> {
        self.busy = unanswered > 0;
        if self.busy {
            self.last_busy_at = now;
        }
        let may_leave_clients = self.state == State::Closing && now >= self.client_wait_ends_at();
        let done = !self.busy && (!clients_connected || may_leave_clients);
        let closed = matches!(self.state, State::Draining | State::Closing);
        (closed && done).then(|| self.enter(State::Stopped, now)).flatten()
    }

    /// Time by which an invocation that comes now has to be answered at the latest.
    pub fn answers_due_at(&self) -> Tenths {
        self.schedule_or_never(|schedule| schedule.answers_due_at)
    }

    /// Returns true once, when everything that is unanswered or not received in full has to be answered.
    pub fn take_answers_due(&mut self, now: Tenths) -> bool {
        let due = self.state == State::Closing && !self.answers_taken && now >= self.answers_due_at();
        self.answers_taken |= due;
        due
    }

    /// Returns true once, when the listener has been open for [`LISTEN_AFTER_SHUTDOWN`] since the signal.
    pub fn take_listener_close(&mut self, now: Tenths) -> bool {
        let due = self.state == State::Leaving
            && self.listener_closing_since.is_none()
            && now >= self.schedule_or_never(|schedule| schedule.listener_close_at);
        if due {
            self.listener_closing_since = Some(now);
        }
        due
    }

    /// When the state may next change without an input.
    pub fn next_due(&self) -> Tenths {
        match self.state {
            State::Starting if !self.list_timed_out => self.entered_at + FRESH_LIST_TIMEOUT,
            State::Leaving if self.listener_closing_since.is_none() => {
                self.schedule_or_never(|schedule| schedule.listener_close_at)
            }
            State::Leaving | State::Draining => self.idle_close_due(),
            State::Closing if !self.answers_taken => self.answers_due_at().min(self.client_wait_ends_at()),
            State::Closing if !self.busy => self.client_wait_ends_at(),
            _ => Tenths::NEVER,
        }
    }

    fn client_wait_ends_at(&self) -> Tenths {
        let exit_at = self.schedule_or_never(|schedule| schedule.exit_at);
        let flushed_at = self.last_busy_at + MIN_ANSWER_FLUSH_TIME;
        (self.last_busy_at + ANSWER_FLUSH_TIMEOUT).min(exit_at.max(flushed_at))
    }

    fn schedule_or_never(&self, step: impl Fn(&ShutdownSchedule) -> Tenths) -> Tenths {
        self.shutdown.as_ref().map_or(Tenths::NEVER, step)
    }
}
