//! Tests of the bound on client connections.

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use crate::harness::*;

#[rstest]
#[tokio::test]
async fn idle_clients_are_closed_at_the_descriptor_limit(#[values(1, 3)] invocations_per_client: usize) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let (mut clients, started_at) = (Vec::new(), Instant::now());
    for _ in 0..60 {
        let mut client = sidecar.connect_client().await;
        for _ in 0..invocations_per_client {
            client.send(LOOKUP).await;
            pod.next_request().await.respond("200 OK", "", "made by the pod");
            let (status, text) = client.read_response().await;
            assert_eq!(status, 200);
            if text.contains("connection: close") {
                break;
            }
        }
        clients.push(client);
    }
    // A new client must not wait until another connection has been idle for long.
    assert!(started_at.elapsed() < Duration::from_millis(1500), "{:?}", started_at.elapsed());
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id().unwrap())).unwrap().count();
    assert!(descriptors <= 64, "{descriptors} descriptors");
}

#[rstest]
#[case::incomplete_head("GET /lookup HTTP/1.1\r\nX-Requ")]
#[case::readiness_probe("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::silent("")]
#[tokio::test]
async fn many_unproductive_connections_do_not_block_other_clients(#[case] sent: &str) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let (mut unproductive, started_at) = (Vec::new(), Instant::now());
    for _ in 0..60 {
        let mut client = sidecar.connect_client().await;
        client.send(sent).await;
        unproductive.push(client);
    }
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
    assert!(started_at.elapsed() < Duration::from_millis(1500), "{:?}", started_at.elapsed());
}

/// A client may be about to send its first request when its connection makes room for others.
#[rstest]
#[case::silent("")]
#[case::incomplete_head("GET /lookup HTTP/1.1\r\nX-Requ")]
#[tokio::test]
async fn connection_that_makes_room_at_the_limit_is_refused_with_an_answer(#[case] sent: &str) {
    let pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let mut clients = Vec::new();
    for _ in 0..30 {
        let mut client = sidecar.connect_client().await;
        client.send(sent).await;
        clients.push(client);
    }
    let (status, text) = clients[0].read_response().await;
    assert!(status == 503 && text.contains("connection: close"), "{text}");
    assert_eq!(clients[0].read_response().await.0, 0);
}
