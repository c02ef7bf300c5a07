//! Tests of the choice of the client connection that makes room, on a simulated time. The connections are real
//! ones, because what was received on them decides whether they may end.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::FutureExt;
use hyper::rt::{Read, ReadBuf, Write};
use rstest::rstest;
use stagepond::host::Tenths;
use stagepond_sidecar::client_connections::{ClientConnections, CloseSignals, ConnectionId};
use stagepond_sidecar::connection::{ConnectionTrace, TracedConnection};
use stagepond_sidecar::messages::Clock;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const WHOLE_REQUEST: &str = "GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n";
const HALF_A_REQUEST: &str = "GET /lookup HTTP/1.1\r\nHo";
const LIMIT: usize = 4;
/// Later than every grace period and keep-alive time, earlier than the time limit of a message.
const LATER: Tenths = Tenths::ms(2100);

/// How a connection was asked to end.
#[derive(Debug, PartialEq)]
enum Asked {
    No,
    IfIdle,
    Refuse,
    AtOnce,
}

struct Connection {
    id: ConnectionId,
    client: TcpStream,
    server: TracedConnection,
    trace: ConnectionTrace,
    signals: Arc<CloseSignals>,
}

impl Connection {
    async fn open(registry: &mut ClientConnections, clock: Clock, opened_at: Tenths) -> Connection {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let trace = ConnectionTrace::for_incoming_messages();
        let server = TracedConnection::new(listener.accept().await.unwrap().0, trace.clone(), clock).unwrap();
        let signals = Arc::new(CloseSignals::default());
        let id = registry.add(opened_at, trace.clone(), signals.clone());
        Connection { id, client, server, trace, signals }
    }

    /// Sends bytes as the client and reads them as the server.
    async fn receive(&mut self, text: &str) {
        self.client.write_all(text.as_bytes()).await.unwrap();
        let mut into = vec![0; text.len()];
        let mut buffer = ReadBuf::new(&mut into);
        while buffer.filled().len() < text.len() {
            std::future::poll_fn(|cx| Pin::new(&mut self.server).poll_read(cx, buffer.unfilled()))
                .await
                .unwrap();
        }
    }

    /// Receives an invocation and answers it.
    async fn invoke(&mut self, registry: &mut ClientConnections, now: Tenths) {
        self.receive(WHOLE_REQUEST).await;
        registry.on_invocation(self.id);
        registry.on_answered(self.id, now);
    }

    /// Receives a readiness check and answers it.
    async fn ask_ready(&mut self, registry: &mut ClientConnections, now: Tenths) {
        self.receive("GET /ready HTTP/1.1\r\n\r\n").await;
        registry.on_ready_asked(self.id);
        registry.on_answered(self.id, now);
    }

    fn asked(&self) -> Asked {
        let is_notified = |signal: &tokio::sync::Notify| signal.notified().now_or_never().is_some();
        match () {
            () if is_notified(&self.signals.if_idle) => Asked::IfIdle,
            () if is_notified(&self.signals.refuse) => Asked::Refuse,
            () if is_notified(&self.signals.immediate) => Asked::AtOnce,
            () => Asked::No,
        }
    }
}

/// Guards against eviction that asks the same oldest connection again and again though it can't end now: none
/// of the others made room.
#[rstest]
#[tokio::test]
async fn eviction_passes_over_a_connection_with_an_unanswered_request() {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let now = clock.now();
    let mut oldest = Connection::open(&mut registry, clock, now).await;
    let silent = Connection::open(&mut registry, clock, now).await;
    oldest.receive(WHOLE_REQUEST).await;
    registry.make_room(now + LATER);
    assert_eq!((oldest.asked(), silent.asked()), (Asked::No, Asked::Refuse));
}

/// Guards against a readiness check that protects half a request behind it from eviction, and with it all
/// younger connections. The request has the same grace as one on a new connection.
#[rstest]
#[case::within_the_grace(Tenths::ms(100), Asked::No, Asked::IfIdle)]
#[case::after_the_grace(Tenths::ms(400), Asked::Refuse, Asked::No)]
#[tokio::test]
async fn half_a_request_after_a_readiness_check_is_evicted_after_its_grace(
    #[case] age: Tenths, #[case] older: Asked, #[case] younger: Asked,
) {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let opened_at = clock.now() - LATER;
    let mut sending = Connection::open(&mut registry, clock, opened_at).await;
    sending.ask_ready(&mut registry, opened_at).await;
    let mut idle = Connection::open(&mut registry, clock, opened_at).await;
    idle.ask_ready(&mut registry, opened_at).await;
    sending.receive(HALF_A_REQUEST).await;
    registry.make_room(sending.trace.message_begun_at().unwrap() + age);
    assert_eq!((sending.asked(), idle.asked()), (older, younger));
}

/// Guards against a connection in the middle of a message that, as the longest idle one, kept all other idle
/// connections open: at the limit, and in the sweep above the high load threshold.
#[rstest]
#[case::at_the_limit(|registry: &ClientConnections, now| registry.make_room(now))]
#[case::in_a_sweep(|registry: &ClientConnections, now| registry.sweep(now))]
#[tokio::test]
async fn longest_idle_connection_in_the_middle_of_a_message_is_passed_over(
    #[case] choose: fn(&ClientConnections, Tenths),
) {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let now = clock.now();
    let mut connections = Vec::new();
    for _ in 0..LIMIT {
        let mut connection = Connection::open(&mut registry, clock, now).await;
        connection.invoke(&mut registry, now).await;
        connections.push(connection);
    }
    connections[0].receive(HALF_A_REQUEST).await;
    choose(&registry, now + LATER);
    let asked: Vec<Asked> = connections.iter().map(Connection::asked).collect();
    assert_eq!(asked, [Asked::No, Asked::IfIdle, Asked::No, Asked::No]);
}

/// Guards against usual clients that lose their connections because silent ones fill the places: each of them
/// then waited with every request behind all who connect and say nothing (part of review/6).
#[rstest]
#[case::others_are_silent(1, false)]
#[case::all_have_sent_an_invocation(LIMIT, true)]
#[tokio::test]
async fn an_answer_closes_its_connection_if_used_ones_fill_the_places(
    #[case] used: usize, #[case] closes: bool,
) {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let mut connections = Vec::new();
    for _ in 0..LIMIT {
        connections.push(Connection::open(&mut registry, clock, Tenths(0)).await);
    }
    for connection in &connections[..used] {
        registry.on_invocation(connection.id);
    }
    assert_eq!(registry.closes_after_answer(connections[0].id), closes);
    // A connection that has ended counts no longer.
    registry.remove(connections[LIMIT - 1].id);
    registry.remove(connections[LIMIT - 2].id);
    assert!(!registry.closes_after_answer(connections[0].id));
}

/// Guards against bodies that stop half way and keep the memory that others wait for until their time limit.
#[rstest]
#[case::within_the_grace(Tenths::ms(300), Asked::No)]
#[case::after_the_grace(Tenths::ms(400), Asked::Refuse)]
#[tokio::test]
async fn body_that_holds_memory_for_long_makes_room_for_others(#[case] age: Tenths, #[case] slowest: Asked) {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let now = clock.now();
    let mut waiting = Connection::open(&mut registry, clock, now).await;
    let mut slow = Connection::open(&mut registry, clock, now).await;
    let mut quicker = Connection::open(&mut registry, clock, now).await;
    for connection in [&mut waiting, &mut slow, &mut quicker] {
        connection.receive("POST /order HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").await;
    }
    registry.on_body_waiting(waiting.id);
    registry.on_body_begun(slow.id, now);
    registry.on_body_begun(quicker.id, now + Tenths(1));
    registry.refuse_slowest_body(now + age);
    assert_eq!((waiting.asked(), slow.asked(), quicker.asked()), (Asked::No, slowest, Asked::No));
}

/// Guards against clients that take no answer and keep its memory for as long as they stay.
#[rstest]
#[tokio::test]
async fn connection_whose_client_reads_nothing_is_cut() {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let mut connection = Connection::open(&mut registry, clock, clock.now()).await;
    registry.on_invocation(connection.id);
    let bytes = vec![0; 64 << 10];
    let mut is_blocked = false;
    while !is_blocked {
        let write = |cx: &mut std::task::Context| Pin::new(&mut connection.server).poll_write(cx, &bytes);
        is_blocked = std::future::poll_fn(write).now_or_never().is_none();
    }
    let blocked_since = connection.trace.write_blocked_since().unwrap();
    registry.sweep(blocked_since + LATER);
    assert_eq!(connection.asked(), Asked::No);
    registry.sweep(blocked_since + LATER + Tenths::ms(200));
    assert_eq!(connection.asked(), Asked::AtOnce);
}

/// Guards against a client that is refused for a place because the sidecar itself has no memory for its body yet.
#[rstest]
#[tokio::test]
async fn connection_that_waits_for_memory_is_not_evicted() {
    let (mut registry, clock) = (ClientConnections::new(LIMIT), Clock::start());
    let now = clock.now();
    let mut waiting = Connection::open(&mut registry, clock, now).await;
    waiting.receive("POST /order HTTP/1.1\r\nContent-Length: 9\r\n\r\n").await;
    registry.on_body_waiting(waiting.id);
    registry.make_room(now + LATER);
    assert_eq!(waiting.asked(), Asked::No);
    registry.on_body_begun(waiting.id, now + LATER);
    registry.make_room(now + LATER + Tenths::ms(300));
    assert_eq!(waiting.asked(), Asked::No);
    registry.make_room(now + LATER + Tenths::ms(400));
    assert_eq!(waiting.asked(), Asked::Refuse);
}
