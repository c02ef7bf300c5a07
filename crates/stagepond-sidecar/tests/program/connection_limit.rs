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

/// Guards against answers that no handler counts: their connections stayed open and could be neither refused
/// nor closed as idle, so that at the limit nothing was accepted for seconds (review/2).
#[rstest]
#[case::path_without_an_operation("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404)]
#[case::unknown_operation_and_a_slash("GET /nosuch/ HTTP/1.1\r\nX-Priority-Class: nosuch\r\n\r\n", 404)]
#[case::no_path("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 404)]
#[case::method_without_a_route("DELETE /ready HTTP/1.1\r\nHost: a\r\n\r\n", 405)]
#[case::method_with_a_body("POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", 405)]
#[case::length_given_twice("GET /ready HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", 400)]
#[case::head_that_is_no_http("GET\r\n\r\n", 400)]
#[tokio::test]
async fn rejected_request_ends_its_connection_and_keeps_no_place(#[case] sent: &str, #[case] expected: u16) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let (mut rejected, started_at) = (Vec::new(), Instant::now());
    for _ in 0..60 {
        let mut client = sidecar.connect_client().await;
        client.send(sent).await;
        rejected.push(client);
    }
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
    assert!(started_at.elapsed() < Duration::from_millis(1500), "{:?}", started_at.elapsed());
    let (status, text) = rejected[0].read_response().await;
    assert!(status == expected && text.to_lowercase().contains("connection: close"), "{text}");
    assert_eq!(rejected[0].read_response().await.0, 0);
}

/// Guards against a readiness check whose message is followed to no end: it kept its place as above.
#[rstest]
#[case::then_a_path_without_an_operation("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404)]
#[case::then_one_in_chunks("GET /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200)]
#[tokio::test]
async fn request_after_a_readiness_check_is_counted_too(#[case] sent: &str, #[case] expected: u16) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let mut prober = sidecar.connect_client().await;
    assert_eq!(prober.exchange(READY_REQUEST).await.0, 200);
    let (status, text) = prober.exchange(sent).await;
    assert!(status == expected && text.contains("connection: close"), "{text}");
    assert_eq!(prober.read_response().await.0, 0);
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
}

/// Guards against a slash at the end of an operation's path that no route took: answered 404 and not counted.
#[rstest]
#[tokio::test]
async fn operation_with_a_slash_at_its_end_is_forwarded() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    client.send(&LOOKUP.replace("/lookup", "/lookup/")).await;
    let request = pod.next_request().await;
    assert_eq!(request.target(), "/lookup/");
    request.respond("200 OK", "", "made by the pod");
    assert_eq!(client.read_response().await.0, 200);
}

/// Guards against eviction that stops at one connection which can't end now: with a prober in the middle of
/// its next request, silent connections kept all places until their time limit.
#[rstest]
#[tokio::test]
async fn connection_that_may_not_end_does_not_keep_the_others_open() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let mut prober = sidecar.connect_client().await;
    assert_eq!(prober.exchange(READY_REQUEST).await.0, 200);
    prober.send("GET /lookup HTTP/1.1\r\nX-Requ").await;
    let (mut silent, started_at) = (Vec::new(), Instant::now());
    for _ in 0..30 {
        silent.push(sidecar.connect_client().await);
    }
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
    assert!(started_at.elapsed() < Duration::from_millis(1500), "{:?}", started_at.elapsed());
}
