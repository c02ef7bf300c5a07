//! Tests that nothing is sent to a pod for a client that has left, whichever way it left.

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::harness::*;
use crate::mock_server::{MockServer, Request};

/// How long after a client's close an attempt for it may still begin.
const LEAVE_GRACE: Duration = Duration::from_millis(100);

/// The system asks again for a connection that was not accepted after 1 s at first.
const CONNECT_RETRY_TIME: Duration = Duration::from_millis(1500);
/// Clients that a sidecar with 64 descriptors takes.
const CLIENT_PLACES: usize = 18;

#[derive(Clone, Copy, Debug)]
enum Close {
    Orderly,
    Reset,
}

impl Close {
    fn apply(self, client: Client) {
        if let Close::Reset = self {
            client.0.set_zero_linger().unwrap();
        }
        drop(client);
    }
}

/// Requests with the ids `order-0`, `order-1` and so on, one behind the other.
fn orders(count: usize, body_bytes: usize) -> String {
    let body = "x".repeat(body_bytes);
    let message = http_message("POST", "/order", "X-Timeout-Ms: 5000\r\n", &body);
    (0..count).map(|nth| message.replace(REQUEST_ID, &format!("order-{nth}"))).collect()
}

/// Writes as much of the text as the operating system takes.
async fn write_without_waiting(client: &Client, text: &str) {
    client.0.writable().await.unwrap();
    let mut bytes = text.as_bytes();
    while let Ok(len) = client.0.try_write(bytes) {
        bytes = &bytes[len..];
        if bytes.is_empty() {
            break;
        }
    }
}

/// Passes two requests of another client through the sidecar. Fails if a pod gets any other request first.
async fn assert_nothing_else_is_sent(sidecar: &Sidecar, pod: &mut MockServer) {
    for _ in 0..2 {
        let mut prober = sidecar.connect_client().await;
        prober.send(LOOKUP).await;
        let request = pod.next_request().await;
        assert!(request.target().starts_with("/lookup"), "sent after the client had left: {}", request.head);
        request.respond("200 OK", "", "made by the pod");
        assert_eq!(prober.read_response().await.0, 200);
    }
    assert_eq!(count_requests(pod), 0);
}

fn answer(request: &Request) {
    request.respond("200 OK", "", "done");
}

fn turn_away(request: &Request) {
    request.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
}

/// Guards against requests that are sent on because the end of their client's connection lies behind unread bytes.
#[rstest]
#[tokio::test]
async fn requests_behind_an_open_one_are_not_sent_after_their_client_has_left(
    #[values(Close::Orderly, Close::Reset)] close: Close, #[values(20, 10_000, 60_000)] body_bytes: usize,
    #[values(answer, turn_away)] end_first_attempt: fn(&Request),
) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let client = sidecar.connect_client().await;
    write_without_waiting(&client, &orders(20, body_bytes)).await;
    let first = pod.next_request().await;
    close.apply(client);
    tokio::time::sleep(LEAVE_GRACE).await;
    end_first_attempt(&first);
    assert_nothing_else_is_sent(&sidecar, &mut pod).await;
}

/// Guards against an end that is not seen because many small segments before it fill the receive buffer.
#[rstest]
#[tokio::test]
async fn request_is_not_repeated_after_its_client_has_left_behind_many_small_segments(
    #[values(Close::Orderly, Close::Reset)] close: Close,
) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    client.0.set_nodelay(true).unwrap();
    client.send(&orders(1, 20)).await;
    let first = pod.next_request().await;
    for byte in orders(200, 20).as_bytes() {
        if client.0.try_write(&[*byte]).is_err() {
            break;
        }
    }
    close.apply(client);
    tokio::time::sleep(LEAVE_GRACE).await;
    turn_away(&first);
    assert_nothing_else_is_sent(&sidecar, &mut pod).await;
}

/// Guards against requests that are sent on because their client left while its connection waited for a place.
#[rstest]
#[tokio::test]
async fn request_of_a_client_that_left_in_the_accept_queue_is_not_sent(
    #[values(Close::Orderly, Close::Reset)] close: Close, #[values(1, 4)] requests: usize,
) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let mut silent = Vec::new();
    for _ in 0..CLIENT_PLACES {
        silent.push(sidecar.connect_client().await);
    }
    // A place comes free when a silent client is 0.4 s old.
    let mut queued = sidecar.connect_client().await;
    queued.send(&orders(requests, 20)).await;
    close.apply(queued);
    assert_nothing_else_is_sent(&sidecar, &mut pod).await;
}

/// Guards against requests that are sent on because the process was held up while their client sent and left.
#[rstest]
#[tokio::test]
async fn request_of_a_client_that_left_before_it_was_read_is_not_sent(
    #[values(Close::Orderly, Close::Reset)] close: Close, #[values(1, 4)] requests: usize,
) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    assert_eq!(client.exchange(READY_REQUEST).await.0, 200);
    sidecar.send_signal(Signal::SIGSTOP);
    client.send(&orders(requests, 20)).await;
    close.apply(client);
    tokio::time::sleep(LEAVE_GRACE).await;
    sidecar.send_signal(Signal::SIGCONT);
    assert_nothing_else_is_sent(&sidecar, &mut pod).await;
}

/// A listener whose queue is full, so that connections to it come up late, and the connections that fill it.
async fn start_crowded_pod() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut fillers = Vec::new();
    while let Ok(filler) = tokio::time::timeout(LEAVE_GRACE, TcpStream::connect(address)).await {
        fillers.push(filler.unwrap());
    }
    (listener, fillers)
}

/// Waits until a connection to this port is being established.
async fn wait_for_connection_attempt(port: u16) {
    let connecting = format!(":{port:04X} 02 ");
    let seen = async {
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&connecting) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, seen).await.expect("no connection was attempted");
}

/// Guards against an attempt that waits for its connection and begins after its client has left.
#[rstest]
#[tokio::test]
async fn attempt_does_not_begin_if_its_client_leaves_while_it_connects() {
    let (pod, fillers) = start_crowded_pod().await;
    let sidecar = Sidecar::start_with(&[pod.local_addr().unwrap()], |config| {
        config["settings"]["bounds"]["connect_timeout_ms"] = json!(4000.0);
    })
    .await;
    let mut client = sidecar.connect_client().await;
    client.send(&orders(1, 20)).await;
    wait_for_connection_attempt(pod.local_addr().unwrap().port()).await;
    drop(client);
    tokio::time::sleep(LEAVE_GRACE).await;
    for _ in &fillers {
        pod.accept().await.unwrap();
    }
    // The system asks for the connection again within this time.
    let late = tokio::time::timeout(CONNECT_RETRY_TIME, pod.accept()).await;
    let Ok(Ok((mut late, _))) = late else { return };
    let received = tokio::time::timeout(LEAVE_GRACE, late.read(&mut [0; 1024])).await;
    assert!(!matches!(received, Ok(Ok(1..))), "{received:?}: sent after the client had left");
}

/// Guards against a watch on clients that costs a request its answer: whoever stays is answered, in order.
#[rstest]
#[tokio::test]
async fn requests_sent_one_behind_the_other_are_all_answered_while_their_client_stays() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    client.send(&orders(4, 20)).await;
    for nth in 0..4 {
        let request = pod.next_request().await;
        assert_eq!(request.header("x-request-id"), Some(format!("order-{nth}").as_str()));
        answer(&request);
        assert_eq!(client.read_response().await.0, 200);
    }
}
