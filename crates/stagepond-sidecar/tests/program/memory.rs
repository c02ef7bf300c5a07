//! Tests that the program keeps within its memory limit whatever its clients and pods send.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::*;
use crate::mock_server::ServerEvent;

const MEMORY_LIMIT_MB: usize = 32;
/// Few enough that the sidecar does not end connections early to make room: it admits 129 with these limits.
const CLIENTS: usize = 90;
const BODY_BYTES: usize = 64 << 10;
/// How many pieces each client sends of its body.
const PIECES: usize = 110;
const CLIENTS_WITH_LONG_ANSWERS: usize = 12;
const ANSWER_CHUNKS: usize = 33_000;
const CROWD_CLIENTS: usize = 300;
const CROWD_REQUESTS: usize = 5;
const CROWD_HEADERS: &str = "X-Timeout-Ms: 2500\r\nIdempotency-Key: 1\r\n";
const SERVICE_TIME: Duration = Duration::from_millis(20);

async fn start_sidecar(pod: SocketAddr) -> Sidecar {
    Sidecar::start_with(&[pod], |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 256});
    })
    .await
}

/// The most memory that the program has used so far, in KiB.
fn peak_memory_kib(sidecar: &Sidecar) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id().unwrap())).unwrap();
    let (_, rest) = status.split_once("VmHWM:").unwrap();
    rest.split_whitespace().next().unwrap().parse().unwrap()
}

fn assert_within_limit(sidecar: &Sidecar) {
    let peak = peak_memory_kib(sidecar);
    assert!(peak <= MEMORY_LIMIT_MB << 10, "{peak} KiB used, {MEMORY_LIMIT_MB} MiB allowed");
}

fn post(id: usize, length_field: &str) -> String {
    format!(
        "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-ID: of-{id}\r\nX-Priority-Class: order\r\n\
         X-Timeout-Ms: 2500\r\n{length_field}\r\n\r\n"
    )
}

/// Guards against bodies that are kept in the pieces in which they came, each with the buffer that it was read
/// into: unfinished ones took more than three times the memory limit.
#[rstest]
#[case::one_byte_chunks("Transfer-Encoding: chunked", "1\r\nx\r\n".to_string())]
#[case::with_a_length("Content-Length: 65536", "x".repeat(BODY_BYTES / PIECES))]
#[tokio::test]
async fn unfinished_bodies_in_small_pieces_keep_within_the_memory_limit(
    #[case] length_field: &str, #[case] piece: String,
) {
    let pod = start_pod().await;
    let sidecar = start_sidecar(pod.address).await;
    let mut prober = sidecar.connect_client().await;
    let mut clients = Vec::new();
    for id in 0..CLIENTS {
        let mut client = sidecar.connect_client().await;
        client.0.set_nodelay(true).unwrap();
        client.0.write_all(post(id, length_field).as_bytes()).await.unwrap();
        clients.push(client);
    }
    for _ in 0..PIECES {
        for client in &mut clients {
            // The sidecar ends connections that take too long.
            let _ = client.0.write_all(piece.as_bytes()).await;
        }
        // Until it is answered the sidecar has had time to read most pieces one by one.
        assert_eq!(prober.exchange(READY_REQUEST).await.0, 200);
    }
    assert_within_limit(&sidecar);
}

/// A pod that answers each request with this text.
async fn start_pod_that_answers(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                while stream.read(&mut request).await.is_ok_and(|len| len > 0) {
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Guards against the same with the answers of pods: each piece took room of its own.
#[rstest]
#[tokio::test]
async fn answers_in_one_byte_chunks_keep_within_the_memory_limit() {
    let chunks = "1\r\nx\r\n".repeat(ANSWER_CHUNKS);
    let answer = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    let pod = start_pod_that_answers(answer).await;
    let sidecar = start_sidecar(pod).await;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS_WITH_LONG_ANSWERS {
        let mut client = sidecar.connect_client().await;
        client.send(&LOOKUP.replace("5000", "20000")).await;
        clients.push(client);
    }
    let mut served = 0;
    for client in &mut clients {
        served += usize::from(client.read_response().await.0 == 200);
    }
    assert!(served > 0, "no answer came through");
    assert_within_limit(&sidecar);
}

/// A pod that answers each whole request with a body of this length, after a while in which others come.
async fn start_pod_with_long_answers(body_bytes: usize) -> SocketAddr {
    let mut pod = start_pod().await;
    let address = pod.address;
    tokio::spawn(async move {
        let body = "a".repeat(body_bytes);
        while let Some(event) = pod.wait_for_event().await {
            let ServerEvent::Request(request) = event else { continue };
            let body = body.clone();
            tokio::spawn(async move {
                tokio::time::sleep(SERVICE_TIME).await;
                request.respond("200 OK", "", &body);
            });
        }
    });
    address
}

/// Guards against a limit that counts what clients send and not the answers, nor the connections to pods.
#[rstest]
#[case::long_requests_and_answers(BODY_BYTES, 60_000)]
#[case::long_answers(0, 60_000)]
#[case::long_requests(BODY_BYTES, 0)]
#[tokio::test]
async fn a_crowd_of_usual_clients_keeps_within_the_memory_limit(
    #[case] request_bytes: usize, #[case] answer_bytes: usize,
) {
    let pod = start_pod_with_long_answers(answer_bytes).await;
    let sidecar = Sidecar::start_with(&[pod], |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 1024});
    })
    .await;
    let (address, body) = (sidecar.address, "x".repeat(request_bytes));
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..CROWD_CLIENTS {
        let body = body.clone();
        clients.spawn(async move {
            let mut served = 0;
            for nth in 0..CROWD_REQUESTS {
                let id = format!("{client}-{nth}");
                let message = http_message("POST", "/note", CROWD_HEADERS, &body).replace(REQUEST_ID, &id);
                let mut client = Client(TcpStream::connect(address).await.unwrap());
                served += usize::from(client.exchange(&message).await.0 == 200);
            }
            served
        });
    }
    let served: usize = clients.join_all().await.into_iter().sum();
    assert!(served > 0, "no request was served");
    assert_within_limit(&sidecar);
}
