//! The registry of client connections: what is known of each, and which of them are to end when places or
//! time run out. It touches no socket: the task that serves a connection carries out its [`CloseSignals`].

use std::collections::BTreeMap;
use std::sync::Arc;

use stagepond::host::Tenths;
use tokio::sync::Notify;

use crate::connection::ConnectionTrace;

/// How long a client may take to send one whole message. An invocation is 64 KiB at most and comes from the
/// same data centre; a connection that takes longer, or that was opened and sent nothing, holds a descriptor
/// that others need.
const MESSAGE_READ_TIMEOUT: Tenths = Tenths::ms(2300);
/// How long a client may take none of the bytes of an answer. They hold memory that others need.
const ANSWER_READ_TIMEOUT: Tenths = Tenths::ms(2300);
/// A client that keeps its connection may rely on it for this long between two invocations.
const MIN_KEEP_ALIVE: Tenths = Tenths::ms(2000);
/// Age from which a connection without an invocation may be evicted at the limit. Clients send as soon as
/// they are connected, but one that is busy itself takes a while, above all in a burst.
const NEW_CONNECTION_GRACE: Tenths = Tenths::ms(400);
/// How long a body may take while others wait for memory.
const BODY_GRACE: Tenths = Tenths::ms(400);
/// Share of the connection limit above which idle connections are closed before their places are needed.
const HIGH_LOAD_SHARE: f64 = 0.75;
/// Share of the connection limit above which every answer closes its connection, counting those alone that have
/// sent an invocation: places that others hold come free without that. A client that has just been
/// answered may stay idle for 2 s, and places held for that long would admit fewer clients than arrive.
const NEAR_LIMIT_SHARE: f64 = 0.9;

/// Number of a client connection, in the order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// How the task that serves a connection is to end it.
#[derive(Default)]
pub struct CloseSignals {
    /// Close unless a request is in progress or has arrived unread.
    pub if_idle: Notify,
    /// Refuse the request that is not received in full, or the one that may be on its way, and close.
    pub refuse: Notify,
    /// Close at once.
    pub immediate: Notify,
}

/// Which part of a request is to be received next.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Receiving {
    /// The head, or the rest of it.
    Head,
    /// The body, once there is memory for it; the connection waits for the sidecar.
    BodyWithoutMemory,
    /// The body, for which memory is held since this time.
    Body(Tenths),
}

/// State of one client connection.
struct ClientConnection {
    opened_at: Tenths,
    /// Since when the connection has been idle; `None` while one of its invocations is open.
    idle_since: Option<Tenths>,
    /// Number of complete invocations received on this connection.
    invocations: u64,
    /// Number of requests that have been answered.
    answered: u64,
    receiving: Receiving,
    /// Whether the client has asked for `/ready`. Such a connection is not cut for being silent, but at the
    /// limit it does not keep other clients out either.
    asked_ready: bool,
    trace: ConnectionTrace,
    signals: Arc<CloseSignals>,
}

impl ClientConnection {
    fn has_been_used(&self) -> bool {
        self.invocations > 0 || self.asked_ready
    }

    /// When the time limit for sending a whole message ends. A connection is never cut while its invocation
    /// is open, nor between two messages once it has sent one.
    fn read_deadline(&self) -> Tenths {
        if self.idle_since.is_none() {
            return Tenths::NEVER;
        }
        match self.trace.message_begun_at() {
            _ if !self.has_been_used() => self.opened_at + MESSAGE_READ_TIMEOUT,
            Some(begun_at) => begun_at + MESSAGE_READ_TIMEOUT,
            None => Tenths::NEVER,
        }
    }

    /// When the connection is cut for its client's slowness.
    fn cut_at(&self) -> Tenths {
        let unread_since = self.trace.write_blocked_since();
        let write_deadline = unread_since.map_or(Tenths::NEVER, |since| since + ANSWER_READ_TIMEOUT);
        self.read_deadline().min(write_deadline)
    }

    /// Whether a refusal is the answer to whatever request comes next or has come in part.
    fn may_be_refused(&self) -> bool {
        self.idle_since.is_some() && self.trace.is_all_answered(self.answered)
    }

    fn is_idle(&self) -> bool {
        self.idle_since.is_some() && self.trace.is_between_requests(self.answered)
    }

    /// Whether the connection has been idle for so long that its client can't count on it any more.
    fn is_past_keep_alive(&self, now: Tenths) -> bool {
        self.has_been_used() && self.idle_since.is_some_and(|since| now >= since + MIN_KEEP_ALIVE)
    }

    /// Whether the connection may make room at the limit although it was never idle for long.
    fn is_evictable(&self, now: Tenths) -> bool {
        let begun_at = match (self.receiving, self.trace.message_begun_at()) {
            (Receiving::BodyWithoutMemory, _) => return false,
            (Receiving::Body(since), _) => since,
            // An invocation may follow a readiness check long after the connection was opened.
            (Receiving::Head, Some(begun_at)) if self.asked_ready => begun_at,
            (Receiving::Head, _) => self.opened_at,
        };
        self.invocations == 0 && self.idle_since.is_some() && now >= begun_at + NEW_CONNECTION_GRACE
    }

    /// Asks the connection to make room, if it can end now. Returns whether it was asked.
    fn try_evict(&self) -> bool {
        let can_end = self.may_be_refused();
        if can_end && self.asked_ready && self.is_idle() {
            self.signals.if_idle.notify_one();
        } else if can_end {
            self.signals.refuse.notify_one();
        }
        can_end
    }
}

/// Counts of the connections at the limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All connections.
    pub all: usize,
    /// Connections that have sent an invocation.
    pub used: usize,
    /// Connections with an open invocation.
    pub open: usize,
    /// Connections that may be evicted to make room.
    pub evictable: usize,
    /// Connections without an open invocation on which a whole request counts as unanswered. They can't be
    /// refused, so one that stays so keeps its place.
    pub unanswered: usize,
}

/// All client connections.
pub struct ClientConnections {
    connections: BTreeMap<ConnectionId, ClientConnection>,
    /// Number of connections that have sent an invocation.
    used_connections: usize,
    max_connections: usize,
    last_id: u64,
}

impl ClientConnections {
    /// An empty registry with room for this many connections.
    pub fn new(max_connections: usize) -> ClientConnections {
        ClientConnections { connections: BTreeMap::new(), used_connections: 0, max_connections, last_id: 0 }
    }

    /// Adds a connection that has just been accepted.
    pub fn add(&mut self, now: Tenths, trace: ConnectionTrace, signals: Arc<CloseSignals>) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = ClientConnection {
            opened_at: now,
            idle_since: Some(now),
            invocations: 0,
            answered: 0,
            receiving: Receiving::Head,
            asked_ready: false,
            trace,
            signals,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let removed = self.connections.remove(&id);
        self.used_connections -= usize::from(removed.is_some_and(|connection| connection.invocations > 0));
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether another connection may be accepted.
    pub fn has_room(&self) -> bool {
        self.connections.len() < self.max_connections
    }

    /// Counts for the log.
    pub fn counts(&self, now: Tenths) -> ConnectionCounts {
        let count = |matches: &dyn Fn(&ClientConnection) -> bool| {
            self.connections.values().filter(|connection| matches(connection)).count()
        };
        ConnectionCounts {
            all: self.connections.len(),
            used: count(&|c| c.invocations > 0),
            open: count(&|c| c.idle_since.is_none()),
            evictable: count(&|c| c.is_evictable(now)),
            unanswered: count(&|c| c.idle_since.is_some() && !c.trace.is_all_answered(c.answered)),
        }
    }

    /// Records that a whole invocation has been received.
    pub fn on_invocation(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = None;
            connection.receiving = Receiving::Head;
            connection.invocations += 1;
            self.used_connections += usize::from(connection.invocations == 1);
        }
    }

    /// Records that a body is not read before there is memory for it.
    pub fn on_body_waiting(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.receiving = Receiving::BodyWithoutMemory;
        }
    }

    /// Records that memory is held for a body, which is read from now on.
    pub fn on_body_begun(&mut self, id: ConnectionId, now: Tenths) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.receiving = Receiving::Body(now);
        }
    }

    /// Records that a request of this connection has got its answer, an invocation or any other.
    pub fn on_answered(&mut self, id: ConnectionId, now: Tenths) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = Some(now);
            connection.receiving = Receiving::Head;
            connection.answered += 1;
        }
    }

    /// Records that the client has asked whether the sidecar is ready.
    pub fn on_ready_asked(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.asked_ready = true;
        }
    }

    /// Whether an invocation of the connection waits for its answer.
    pub fn has_open_invocation(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.idle_since.is_none())
    }

    /// Whether no request is in progress on the connection and none has arrived unread. It looks at the
    /// socket, so that a close right after it can cross only what arrives in between.
    pub fn is_idle(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(ClientConnection::is_idle)
    }

    /// Whether no whole request is unanswered on the connection, so that a refusal can't be taken for the
    /// answer to one that a pod may have run.
    pub fn may_be_refused(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(ClientConnection::may_be_refused)
    }

    fn high_load_threshold(&self) -> usize {
        (self.max_connections as f64 * HIGH_LOAD_SHARE) as usize
    }

    /// Whether the next answer on this connection closes it, to leave room. Above [`HIGH_LOAD_SHARE`] that
    /// holds for clients that have sent a single invocation, since most of those never send another; above
    /// [`NEAR_LIMIT_SHARE`] for all.
    pub fn closes_after_answer(&self, id: ConnectionId) -> bool {
        let count = self.used_connections;
        count as f64 > self.max_connections as f64 * NEAR_LIMIT_SHARE
            || count > self.high_load_threshold()
                && self.connections.get(&id).is_some_and(|c| c.invocations < 2)
    }

    /// Asks one connection to end, of those that can end now: the oldest that has never sent an invocation,
    /// because any process may have opened it, or else the one that has been idle longest. The connections in
    /// the accept queue may have sent their invocations already. The first invocation of an evicted connection
    /// may be on its way, so it is refused.
    pub fn make_room(&self, now: Tenths) {
        // The order of the numbers is that of the age.
        let mut oldest_first = self.connections.values();
        if !oldest_first.any(|connection| connection.is_evictable(now) && connection.try_evict()) {
            self.close_longest_idle(1, now);
        }
    }

    /// Asks every idle connection to end.
    pub fn close_idle(&self) {
        self.connections.values().for_each(|c| c.signals.if_idle.notify_one());
    }

    /// Cuts every connection, whatever is in progress on it.
    #[cfg(feature = "planted")]
    pub fn close_all(&self) {
        self.connections.values().for_each(|c| c.signals.immediate.notify_one());
    }

    /// Refuses the requests that have been received in part, and closes their connections.
    pub fn refuse_unfinished(&self) {
        self.connections.values().for_each(|c| c.signals.refuse.notify_one());
    }

    /// Refuses the request that has held memory for longest without being received in full, because others wait
    /// for memory.
    pub fn refuse_slowest_body(&self, now: Tenths) {
        let slow = self.connections.values().filter_map(|connection| match connection.receiving {
            Receiving::Body(since) if now >= since + BODY_GRACE => Some((since, connection)),
            _ => None,
        });
        let slow = slow.filter(|(_, connection)| connection.may_be_refused());
        let slowest = slow.min_by_key(|(since, _)| *since).map(|(_, connection)| connection);
        slowest.into_iter().for_each(|c| c.signals.refuse.notify_one());
    }

    /// Cuts the connections that have not sent a whole message in time or do not read, and closes idle ones above
    /// [`HIGH_LOAD_SHARE`].
    pub fn sweep(&self, now: Tenths) {
        self.connections
            .values()
            .filter(|c| c.cut_at() <= now)
            .for_each(|c| c.signals.immediate.notify_one());
        self.close_longest_idle(self.connections.len().saturating_sub(self.high_load_threshold()), now);
    }

    /// Asks up to `max_closed` connections that have been idle for at least [`MIN_KEEP_ALIVE`] to end, longest
    /// idle first. Connections on which a request has arrived are passed over.
    fn close_longest_idle(&self, max_closed: usize, now: Tenths) {
        if max_closed == 0 {
            return;
        }
        let mut idle: Vec<&ClientConnection> =
            self.connections.values().filter(|c| c.is_past_keep_alive(now)).collect();
        idle.sort_by_key(|c| c.idle_since);
        let can_end = idle.into_iter().filter(|connection| connection.is_idle());
        can_end.take(max_closed).for_each(|connection| connection.signals.if_idle.notify_one());
    }
}
