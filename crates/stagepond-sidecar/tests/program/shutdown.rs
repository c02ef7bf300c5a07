//! Tests of the shutdown after SIGTERM.

use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::harness::*;

#[rstest]
#[tokio::test]
async fn planned_stop_under_traffic_loses_no_invocation() {
    let mut pod = start_pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    let (mut busy, mut idle) = (sidecar.connect_client().await, sidecar.connect_client().await);
    invoke_successfully(&mut idle, &mut pod).await;
    busy.send(LOOKUP).await;
    let request = pod.next_request().await;
    sidecar.send_signal(Signal::SIGTERM);
    sidecar.wait_for_log("state=Leaving").await;
    // The client of the idle connection can't know of the signal; only an answer tells it to go elsewhere.
    idle.send(LOOKUP).await;
    pod.next_request().await.respond("200 OK", "", "for the idle one");
    let (status, text) = idle.read_response().await;
    assert!(status == 200 && text.contains("connection: close"), "{text}");
    assert_eq!(idle.read_response().await.0, 0);
    let (mut probe, mut late) = (sidecar.connect_client().await, sidecar.connect_client().await);
    assert_eq!(probe.exchange(READY_REQUEST).await.0, 503);
    late.send(LOOKUP).await;
    pod.next_request().await.respond("200 OK", "", "for the late one");
    assert_eq!(late.read_response().await.0, 200);
    sidecar.wait_for_log("state=Draining").await;
    request.respond("200 OK", "", "for the busy one");
    assert!(busy.read_response().await.1.ends_with("for the busy one"));
    sidecar.wait_for_log("state=Stopped").await;
    let status = tokio::time::timeout(EVENT_TIMEOUT, sidecar.child.wait())
        .await
        .expect("the sidecar has not ended in time")
        .unwrap();
    assert!(status.success());
}

#[rstest]
#[case::incomplete_head("GET /lookup HTTP/1.1\r\nX-Requ")]
#[case::incomplete_body(
    "POST /order HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: order\r\nX-Timeout-Ms: 9000\r\n\
                     Content-Length: 9\r\n\r\nhalf"
)]
#[tokio::test]
async fn request_that_is_not_whole_when_the_sidecar_exits_is_refused_with_an_answer(#[case] sent: &str) {
    let mut pod = start_pod().await;
    let mut sidecar = Sidecar::start_with(&[pod.address], |config| set_time_limits(config, 1000.0)).await;
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
    sidecar.send_signal(Signal::SIGTERM);
    sidecar.wait_for_log("state=Draining").await;
    client.send(sent).await;
    let (status, text) = client.read_response().await;
    assert!(status == 503 && text.contains("connection: close"), "{text}");
    sidecar.wait_for_log("state=Stopped").await;
    assert_eq!(count_requests(&mut pod), 0);
}

/// Guards against a listener that never ends: silent clients that come again each time that they are refused
/// kept its queue full, so that nothing was answered before the kill.
#[rstest]
#[tokio::test]
async fn shutdown_ends_while_refused_clients_keep_connecting() {
    let mut pod = start_pod().await;
    let mut sidecar = Sidecar::start_with(&[pod.address], |config| {
        config["limits"]["sockets"] = json!(64);
        set_time_limits(config, 1000.0);
    })
    .await;
    let mut client = sidecar.connect_client().await;
    client.send(&http_message("POST", "/order", "X-Timeout-Ms: 60000\r\n", "")).await;
    let _unanswered = pod.next_request().await;
    let address = sidecar.address;
    let silent_clients: Vec<_> = (0..100)
        .map(|_| {
            tokio::spawn(async move {
                while let Ok(mut connection) = TcpStream::connect(address).await {
                    let _ = connection.read_to_end(&mut Vec::new()).await;
                }
            })
        })
        .collect();
    sidecar.wait_for_log("is the bound").await;
    sidecar.send_signal(Signal::SIGTERM);
    assert_eq!(client.read_response().await.0, 502);
    sidecar.wait_for_log("state=Stopped").await;
    // Another server may listen on the same port by now, so they don't end by themselves for certain.
    silent_clients.iter().for_each(tokio::task::JoinHandle::abort);
}
