//! Tests that no client keeps the others waiting. The clients and the frontend share one thread, so that the order
//! of what happens does not depend on the machine.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use rstest::rstest;
use stagepond_sidecar::frontend::Frontend;
use stagepond_sidecar::memory::MemoryBudget;
use stagepond_sidecar::messages::Clock;
use stagepond_sidecar::request_head::Operations;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

/// Requests that wait to be read when the other client sends its own.
const PIPELINED: usize = 1000;
/// Answers that one client may get before another one gets its first: the turns that it takes to accept a
/// connection, read from it and answer, with room to spare.
const MAX_ANSWERS_AHEAD: usize = 32;

/// Connects a client that has sent this already when its connection is accepted.
fn client_that_sent(to: SocketAddr, text: &str) -> TcpStream {
    let mut client = TcpStream::connect(to).unwrap();
    client.write_all(text.as_bytes()).unwrap();
    client.set_nonblocking(true).unwrap();
    client
}

/// Counts the answers that have arrived.
fn answers(client: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    let end = client.read_to_end(&mut received).map_err(|error| error.kind());
    assert_eq!(end, Err(ErrorKind::WouldBlock), "the connection is open");
    String::from_utf8(received).unwrap().matches("HTTP/1.1 ").count()
}

/// Guards against a client that sends small requests at full speed on one connection: the runtime answered a
/// thousand of them before it looked at the other sockets, and others waited ten times as long as usual.
#[rstest]
#[case::readiness_checks("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::with_a_body("GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")]
#[tokio::test]
async fn a_client_gets_its_answer_while_another_sends_without_a_pause(#[case] request: &str) {
    let (inputs, _received) = mpsc::unbounded_channel();
    let frontend =
        Frontend::new(Operations(Vec::new()), 16, MemoryBudget::new(1 << 20), Clock::start(), inputs);
    frontend.set_ready(true);
    let address = frontend.listen(([127, 0, 0, 1], 0).into()).unwrap();
    let mut busy = client_that_sent(address, &request.repeat(PIPELINED));
    let other = client_that_sent(address, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    let mut other = tokio::net::TcpStream::from_std(other).unwrap();
    assert!(other.read(&mut [0; 512]).await.unwrap() > 0);
    let ahead = answers(&mut busy);
    assert!(ahead <= MAX_ANSWERS_AHEAD, "{ahead} answers came first");
}
