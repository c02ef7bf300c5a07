//! Tests of the sidecar program on loopback ports that the system chooses, against mock pods, discovery and
//! platform. Each test waits for events: a request, the end of a connection, a line of the log.

mod connection_limit;
mod harness;
mod leaving;
mod memory;
#[path = "../../../../examples/mock_server.rs"]
mod mock_server;
mod shutdown;

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use harness::*;
use mock_server::ServerEvent;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

#[rstest]
#[tokio::test]
async fn invocation_and_response_are_forwarded_unchanged() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    assert_eq!(client.exchange(READY_REQUEST).await.0, 200);
    let id = format!("of-{}", client.0.local_addr().unwrap().port());
    let headers = "X-Timeout-Ms: 480\r\nIdempotency-Key: 5c0f\r\nX-Attrs: a=1\r\n";
    client.send(&http_message("POST", "/note/7?k=a%20b", headers, "as it is")).await;
    let request = pod.next_request().await;
    assert!(request.head.starts_with("POST /note/7?k=a%20b HTTP/1.1"), "{}", request.head);
    assert_eq!(
        (request.header("x-request-id"), request.header("idempotency-key")),
        (Some(id.as_str()), Some("5c0f"))
    );
    assert_eq!(request.body, b"as it is");
    let timeout_ms: u32 = request.header("x-timeout-ms").unwrap().parse().unwrap();
    assert!((380..=480).contains(&timeout_ms), "{timeout_ms}");
    request.respond("200 OK", "X-Server-Load: rif=3\r\nContent-Type: text/x-test\r\n", "made by the pod");
    let (status, text) = client.read_response().await;
    assert_eq!(status, 200);
    assert!(text.ends_with("\r\n\r\nmade by the pod"), "{text}");
    assert!(text.contains("text/x-test") && !text.to_lowercase().contains("x-server-load"), "{text}");
}

#[rstest]
#[tokio::test]
async fn open_connection_to_a_pod_is_reused() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    for _ in 0..40 {
        client.send(LOOKUP).await;
        let request = pod.next_request().await;
        assert_eq!(request.connection, 1);
        request.respond("200 OK", "", "made by the pod");
        assert_eq!(client.read_response().await.0, 200);
    }
}

#[rstest]
#[tokio::test]
async fn dispatch_goes_to_another_pod_if_the_connection_is_refused() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[unused_address().await, pod.address]).await;
    for _ in 0..8 {
        let mut client = sidecar.connect_client().await;
        client.send(&http_message("POST", "/order", "X-Timeout-Ms: 5000\r\n", "once")).await;
        pod.next_request().await.respond("200 OK", "", "done");
        assert_eq!(client.read_response().await.0, 200);
    }
}

#[rstest]
#[case::reset("", true)]
#[case::reset_within_the_response("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", true)]
#[case::not_http("nonsense\r\n\r\n", false)]
#[case::endless_head(&format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(300_000)), false)]
#[case::conflicting_content_lengths(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    false
)]
#[case::body_too_long(&format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(300_000)), false)]
#[case::closed_without_a_length("HTTP/1.1 200 OK\r\n\r\nhalf", false)]
#[case::status_500("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", false)]
#[tokio::test]
async fn failed_dispatch_is_retried_only_if_the_operation_is_idempotent(
    #[case] reply: &str, #[case] reset: bool, #[values("/order", "/lookup")] operation: &str,
) {
    let (mut first_pod, mut second_pod) = (start_pod().await, start_pod().await);
    let sidecar = Sidecar::start(&[first_pod.address, second_pod.address]).await;
    let mut client = sidecar.connect_client().await;
    let (method, is_retried) = if operation == "/order" { ("POST", false) } else { ("GET", true) };
    client.send(&http_message(method, operation, "X-Timeout-Ms: 5000\r\n", "")).await;
    let request = tokio::select! {
        request = first_pod.next_request() => request,
        request = second_pod.next_request() => request,
    };
    request.send_raw(reply);
    match reset {
        true => request.reset(),
        // After a valid error response the connection stays open; the other replies leave it unusable.
        false if !reply.contains("500") => request.close(),
        false => {}
    }
    if is_retried {
        let request = tokio::select! {
            request = first_pod.next_request() => request,
            request = second_pod.next_request() => request,
        };
        request.respond("200 OK", "", "the second time");
    }
    assert_eq!(client.read_response().await.0, if is_retried { 200 } else { 502 });
    assert_eq!(count_requests(&mut first_pod) + count_requests(&mut second_pod), 0);
}

#[rstest]
#[case::without_not_processed("", 502)]
#[case::with_not_processed("X-Not-Processed: 1\r\n", 200)]
#[tokio::test]
async fn pod_503_is_retried_only_if_marked_not_processed_and_its_body_is_not_forwarded(
    #[case] headers: &str, #[case] status: u16,
) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    client.send(&http_message("POST", "/order", "X-Timeout-Ms: 5000\r\n", "once")).await;
    pod.next_request().await.respond("503 Busy", headers, "not for clients");
    if status == 200 {
        pod.next_request().await.respond("200 OK", "", "done");
    }
    let (received_status, text) = client.read_response().await;
    assert_eq!(received_status, status);
    assert!(!text.contains("not for clients"));
    assert_eq!(count_requests(&mut pod), 0);
}

#[rstest]
#[tokio::test]
async fn connection_of_a_timed_out_dispatch_is_closed_before_the_next_dispatch() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    let started_at = Instant::now();
    client.send(&http_message("POST", "/order", "X-Timeout-Ms: 300\r\n", "once")).await;
    let request = pod.next_request().await;
    assert_eq!(client.read_response().await.0, 502);
    let elapsed = started_at.elapsed();
    assert!(elapsed >= Duration::from_millis(295) && elapsed < Duration::from_millis(900), "{elapsed:?}");
    client.send(LOOKUP).await;
    // The pod must see the end of the first connection before the next request.
    let mut closed = false;
    let next = loop {
        match pod.next_event().await {
            ServerEvent::Closed(connection) => closed |= connection == request.connection,
            ServerEvent::Request(next) => break next,
            ServerEvent::Opened => {}
        }
    };
    assert!(closed && next.connection != request.connection);
    request.respond("200 OK", "", "too late");
    next.respond("200 OK", "", "in time");
    assert!(client.read_response().await.1.ends_with("in time"));
}

#[rstest]
#[tokio::test]
async fn dispatch_fails_after_the_connect_timeout_if_a_pod_never_accepts() {
    // With a full accept queue the system drops connection attempts, as if the machine had vanished.
    let full_listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    full_listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full_listener.listen(0).unwrap();
    let unresponsive_address = full_listener.local_addr().unwrap().as_socket().unwrap();
    let _first = TcpStream::connect(unresponsive_address).await.unwrap();
    let sidecar = Sidecar::start(&[unresponsive_address]).await;
    let mut client = sidecar.connect_client().await;
    let started_at = Instant::now();
    let (status, _) =
        client.exchange(&http_message("POST", "/order", "X-Timeout-Ms: 3000\r\n", "once")).await;
    assert_eq!(status, 503, "nothing was sent, so a retry is safe");
    assert!(started_at.elapsed() < Duration::from_millis(2000), "{:?}", started_at.elapsed());
}

#[rstest]
#[tokio::test]
async fn disconnected_client_does_not_affect_other_clients() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut disconnected = sidecar.connect_client().await;
    disconnected.send(LOOKUP).await;
    let request = pod.next_request().await;
    drop(disconnected);
    let mut incomplete = sidecar.connect_client().await;
    incomplete.send("POST /note HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 100\r\n\r\nhalf").await;
    drop(incomplete);
    request.respond("200 OK", "", "for nobody");
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
}

/// Guards against an effect that happens twice: an order ran again when its id came a second time after its client
/// had left in the middle of the run.
#[rstest]
#[tokio::test]
async fn order_whose_client_has_left_does_not_run_again() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let order = http_message("POST", "/order", "X-Timeout-Ms: 5000\r\n", "one");
    let mut first = sidecar.connect_client().await;
    first.send(&order).await;
    let request = pod.next_request().await;
    let repeated = order.replace(REQUEST_ID, request.header("x-request-id").unwrap());
    drop(first);
    request.respond("200 OK", "", "for nobody");
    // Until the sidecar has learnt of that, the id is refused as one in use.
    for _ in 0..2 {
        let mut again = sidecar.connect_client().await;
        assert_eq!(again.exchange(&repeated).await.0, 409);
        invoke_successfully(&mut again, &mut pod).await;
    }
    assert_eq!(count_requests(&mut pod), 0);
}

#[rstest]
#[case::unknown_path("GET", "/nothing", "X-Timeout-Ms: 9\r\n", 404)]
#[case::no_time_limit("GET", "/lookup", "", 400)]
#[case::time_limit_not_a_number("GET", "/lookup", "X-Timeout-Ms: soon\r\n", 400)]
#[case::zero_time_limit("GET", "/lookup", "X-Timeout-Ms: 0\r\n", 400)]
#[case::negative_time_limit("GET", "/lookup", "X-Timeout-Ms: -9\r\n", 400)]
#[case::time_limit_too_long("GET", "/lookup", "X-Timeout-Ms: 4000000000\r\n", 400)]
#[case::time_limit_beyond_64_bits_of_tenths("GET", "/lookup", "X-Timeout-Ms: 1844674407370955162\r\n", 400)]
#[case::time_limit_beyond_64_bits("GET", "/lookup", "X-Timeout-Ms: 99999999999999999999\r\n", 400)]
#[case::two_time_limits("GET", "/lookup", "X-Timeout-Ms: 900\r\nX-Timeout-Ms: 9\r\n", 400)]
#[case::two_ids("GET", "/lookup", "X-Request-ID: another\r\nX-Timeout-Ms: 900\r\n", 400)]
#[case::two_lengths("POST", "/order", "X-Timeout-Ms: 900\r\nContent-Length: 0\r\n", 400)]
#[case::chunked_and_length("POST", "/order", "X-Timeout-Ms: 900\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::negative_length("POST", "/order", "X-Timeout-Ms: 900\r\ncontent-length: -3\r\n", 400)]
#[case::long_head("GET", "/lookup", &format!("X-Timeout-Ms: 900\r\nX-Long: {}\r\n", "x".repeat(30_000)), 431)]
#[case::post_of_a_pure_operation("POST", "/lookup", "X-Timeout-Ms: 9\r\n", 400)]
#[case::get_of_a_side_effecting_operation("GET", "/order", "X-Timeout-Ms: 9\r\n", 400)]
#[case::no_idempotency_key("POST", "/note", "X-Timeout-Ms: 9\r\n", 400)]
#[case::body_too_long("POST", "/order", "X-Timeout-Ms: 9000\r\n", 413)]
#[tokio::test]
async fn malformed_invocation_is_rejected_without_affecting_other_connections(
    #[case] method: &str, #[case] target: &str, #[case] headers: &str, #[case] status: u16,
) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let (mut good, mut bad) = (sidecar.connect_client().await, sidecar.connect_client().await);
    good.send(LOOKUP).await;
    let request = pod.next_request().await;
    let body = if status == 413 { "x".repeat(70_000) } else { String::new() };
    let written = bad.0.write_all(http_message(method, target, headers, &body).as_bytes()).await;
    assert!(written.is_ok() || status == 413);
    assert_eq!(bad.read_response().await.0, status);
    let mut no_id = sidecar.connect_client().await;
    assert_eq!(no_id.exchange(&LOOKUP.replace("X-Request-ID", "X-Other")).await.0, 400);
    request.respond("200 OK", "", "made by the pod");
    assert_eq!(good.read_response().await.0, 200);
    assert_eq!(count_requests(&mut pod), 0);
}

/// Guards against request smuggling: the HTTP library uses the transfer encoding and strips the length, while a
/// pod that uses the length would read the rest of the body as a second request.
#[rstest]
#[tokio::test]
async fn message_with_chunked_encoding_and_length_is_rejected_and_its_connection_closed() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    let head = http_message("POST", "/order", "X-Timeout-Ms: 900\r\nTransfer-Encoding: chunked\r\n", "");
    client.send(&head.replace("Content-Length: 0", "cOntent-length: 5")).await;
    client.send(&format!("0\r\n\r\n{LOOKUP}")).await;
    assert_eq!(client.read_response().await.0, 400);
    assert_eq!(client.read_response().await.0, 0);
    let mut chunked = sidecar.connect_client().await;
    chunked.send(&head.replace("Content-Length: 0\r\n", "")).await;
    chunked.send("3\r\nabc\r\n0\r\n\r\n").await;
    let request = pod.next_request().await;
    assert_eq!(request.body, b"abc");
    request.respond("200 OK", "", "made by the pod");
    assert_eq!(chunked.read_response().await.0, 200);
    assert_eq!(count_requests(&mut pod), 0);
}

#[rstest]
#[tokio::test]
async fn id_of_an_open_invocation_is_rejected_until_its_dispatch_has_ended() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let (mut first, mut second) = (sidecar.connect_client().await, sidecar.connect_client().await);
    first.send(LOOKUP).await;
    let request = pod.next_request().await;
    let duplicate = LOOKUP.replace(REQUEST_ID, request.header("x-request-id").unwrap());
    assert_eq!(second.exchange(&duplicate).await.0, 409);
    request.respond("200 OK", "", "made by the pod");
    assert_eq!(first.read_response().await.0, 200);
    second.send(&duplicate).await;
    pod.next_request().await.respond("200 OK", "", "made by the pod");
    assert_eq!(second.read_response().await.0, 200);
}

#[rstest]
#[case::silent("")]
#[case::incomplete_head("GET /lookup HTTP/1.1\r\nX-Requ")]
#[case::incomplete_body(
    "POST /order HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: order\r\nX-Timeout-Ms: 9000\r\n\
                     Content-Length: 9\r\n\r\nhalf"
)]
#[tokio::test]
async fn incomplete_message_times_out_but_an_idle_connection_stays_open(#[case] sent: &str) {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut regular = sidecar.connect_client().await;
    invoke_successfully(&mut regular, &mut pod).await;
    let (mut bad, started_at) = (sidecar.connect_client().await, Instant::now());
    bad.send(sent).await;
    assert_eq!(bad.read_response().await.0, 0);
    assert!(started_at.elapsed() < Duration::from_millis(2950), "{:?}", started_at.elapsed());
    invoke_successfully(&mut regular, &mut pod).await;
}

#[rstest]
#[tokio::test]
async fn bytes_after_a_response_are_never_read_as_the_next_response() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    for trailing in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", "noise", "later"] {
        client.send(LOOKUP).await;
        let request = pod.next_request().await;
        let responses = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        match trailing {
            "later" => {
                request.send_raw(responses);
                assert!(client.read_response().await.1.ends_with("made"));
                request.send_raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
                request.flush().await;
            }
            _ => {
                request.send_raw(format!("{responses}{trailing}"));
                assert!(client.read_response().await.1.ends_with("made"));
            }
        }
        client.send(LOOKUP).await;
        let next = pod.next_request().await;
        assert_ne!(next.connection, request.connection, "{trailing}");
        next.respond("200 OK", "", "its own");
        assert!(client.read_response().await.1.ends_with("its own"), "{trailing}");
    }
}

#[rstest]
#[tokio::test]
async fn connection_in_use_when_its_pod_was_removed_is_not_reused() {
    let mut pod = start_pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.connect_client().await;
    client.send(LOOKUP).await;
    let request = pod.next_request().await;
    let mut idle = sidecar.connect_client().await;
    invoke_successfully(&mut idle, &mut pod).await;
    // The end of the idle connection shows that the sidecar has applied the list.
    sidecar.send_discovery_text(&pod_list(42, false, &[pod_entry("pod-0", pod.address, "terminating", 1)]));
    pod.next_closed().await;
    sidecar.send_discovery_text(&pod_list(43, false, &[pod_entry("pod-0", pod.address, "in_service", 1)]));
    request.respond("200 OK", "", "by the earlier process");
    assert_eq!(client.read_response().await.0, 200);
    client.send(LOOKUP).await;
    let next = pod.next_request().await;
    assert_ne!(next.connection, request.connection);
    next.respond("200 OK", "", "by the later one");
    assert_eq!(client.read_response().await.0, 200);
}

#[rstest]
#[tokio::test]
async fn terminating_pod_in_the_discovery_stream_gets_no_new_dispatches() {
    let (mut leaving, mut staying) = (start_pod().await, start_pod().await);
    let mut sidecar = Sidecar::start(&[leaving.address]).await;
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut leaving).await;
    let entries = [
        pod_entry("pod-0", leaving.address, "terminating", 1),
        pod_entry("pod-9", staying.address, "in_service", 1),
    ];
    sidecar.send_discovery_text(&pod_list(42, false, &entries));
    // The end of the idle connection shows that the sidecar has applied the list.
    assert_eq!(leaving.next_closed().await, 1);
    for _ in 0..10 {
        invoke_successfully(&mut client, &mut staying).await;
    }
    // After a malformed line or a reset the sidecar subscribes again from the last version.
    sidecar.send_discovery_text("{\"index\": 43, \"endpoints\": nonsense\n");
    sidecar.wait_for_log("a line of the list").await;
    let resumed_stream = sidecar.discovery.next_request().await;
    assert_eq!(resumed_stream.target(), "/v1/endpoints?stream=1&index=42");
    resumed_stream.reset();
    assert_eq!(sidecar.discovery.next_request().await.target(), "/v1/endpoints?stream=1&index=42");
}

#[rstest]
#[tokio::test]
async fn discovery_stream_that_stalls_within_a_line_is_resumed_from_the_last_version() {
    let mut pod = start_pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    sidecar.send_discovery_text(
        pod_list(42, false, &[pod_entry("pod-0", pod.address, "terminating", 1)]).trim_end(),
    );
    let resumed_stream = sidecar.discovery.next_request().await;
    assert_eq!(resumed_stream.target(), "/v1/endpoints?stream=1&index=41");
    resumed_stream.start_chunked("application/json");
    resumed_stream.send_chunk(&pod_list(42, false, &[pod_entry("pod-0", pod.address, "in_service", 1)]));
    invoke_successfully(&mut sidecar.connect_client().await, &mut pod).await;
}

/// The fleet has some hundreds of pods and of sidecars. No limit on either may be below a thousand, and all of
/// them must fit the smallest memory and descriptor limits that a deployment gives.
#[rstest]
#[tokio::test]
async fn thousand_pods_and_sidecars_fit_the_smallest_limits_and_an_indented_pod_list_is_read() {
    const POD_AND_PEER_COUNT: usize = 1024;
    let (mut leaving, mut staying) = (start_pod().await, start_pod().await);
    let peers: Vec<String> = (0..POD_AND_PEER_COUNT)
        .map(|number| format!("127.0.1.{}:{}", number % 250 + 1, 2000 + number))
        .collect();
    let sidecar = Sidecar::start_with(&vec![leaving.address; POD_AND_PEER_COUNT], |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
        config["settings"]["fleet_size"] = json!(POD_AND_PEER_COUNT);
        config["peers"] = json!(peers);
    })
    .await;
    invoke_successfully(&mut sidecar.connect_client().await, &mut leaving).await;
    let pod_name = |number: usize| format!("pod-{number}");
    let entries: Vec<Value> = (0..POD_AND_PEER_COUNT)
        .map(|number| match number {
            700 => pod_entry(&pod_name(number), staying.address, "in_service", 1),
            _ => pod_entry(&pod_name(number), leaving.address, "terminating", 1),
        })
        .collect();
    let list = json!({"index": 42, "snapshot": true, "endpoints": entries});
    sidecar.send_discovery_text(&(serde_json::to_string_pretty(&list).unwrap() + "\n"));
    sidecar.discovery_stream.as_ref().unwrap().flush().await;
    for _ in 0..20 {
        invoke_successfully(&mut sidecar.connect_client().await, &mut staying).await;
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id().unwrap())).unwrap();
    let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kb: u64 = peak_kb.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak_kb < 32 << 10, "{peak_kb} kB");
}

#[rstest]
#[tokio::test]
async fn pod_lists_received_while_paused_are_applied_before_waiting_invocations() {
    let (mut leaving, mut staying) = (start_pod().await, start_pod().await);
    let sidecar = Sidecar::start(&[leaving.address]).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(sidecar.connect_client().await);
    }
    sidecar.send_signal(Signal::SIGSTOP);
    for client in &mut clients {
        client.send(LOOKUP).await;
    }
    let entries = [
        pod_entry("pod-0", leaving.address, "terminating", 1),
        pod_entry("pod-9", staying.address, "in_service", 1),
    ];
    sidecar.send_discovery_text(&pod_list(42, false, &entries));
    sidecar.discovery_stream.as_ref().unwrap().flush().await;
    sidecar.send_signal(Signal::SIGCONT);
    for _ in &clients {
        staying.next_request().await.respond("200 OK", "", "made by the pod");
    }
    for client in &mut clients {
        assert_eq!(client.read_response().await.0, 200);
    }
    assert_eq!(count_requests(&mut leaving), 0);
}

#[rstest]
#[tokio::test]
async fn build_on_trial_is_voted_on_and_the_platforms_answer_is_read() {
    let pod = start_pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    let mut stream = sidecar.platform.next_request().await;
    assert!(stream.head.starts_with("GET /stream HTTP/1.1"));
    stream.start_chunked("text/event-stream");
    // After input that cannot be parsed nothing else on the connection is trusted: the sidecar reconnects.
    for malformed in ["event: ROLLOUT\ndata: build=nonsense\n\n", "\u{1}\u{2} noise\n", "data"] {
        stream.send_chunk(":\n\n");
        stream.send_chunk(malformed);
        if malformed == "data" {
            stream.reset();
        }
        stream = sidecar.platform.next_request().await;
        assert!(stream.head.starts_with("GET /stream HTTP/1.1"));
        stream.start_chunked("text/event-stream");
    }
    sidecar.send_discovery_text(&pod_list(42, false, &[pod_entry("pod-2", pod.address, "in_service", 2)]));
    stream.send_chunk("event: ROLLOUT\ndata: build=2&stage=0&phase=Progressing&cap=0.5&age_ms=8000\n\n");
    let mut keep_alive = tokio::time::interval(Duration::from_millis(500));
    let vote = loop {
        tokio::select! {
            vote = sidecar.platform.next_request() => break vote,
            // The stream needs keep-alive lines while the sidecar collects observations for its vote.
            _ = keep_alive.tick() => stream.send_chunk(":\n"),
        }
    };
    assert_eq!(vote.body, b"Action=PutApproval&build=2&stage=0&verdict=promote");
    assert_ne!(vote.connection, stream.connection);
    let item = "<build>2</build><stage>0</stage><phase>Progressing</phase><cap>0.5</cap><age_ms>9</age_ms>";
    let xml = format!("<?xml version=\"1.0\"?>\n<Response><entries><item>{item}</item></entries></Response>");
    vote.respond("200 OK", "Content-Type: text/xml\r\n", &xml);
    assert!(sidecar.wait_for_log("voted").await.contains("Ok(Standing"));
}

#[rstest]
#[tokio::test]
async fn foreign_oversized_and_malformed_datagrams_are_dropped() {
    let mut pod = start_pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    let foreign = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    foreign.send_to(b"who is this", sidecar.peer_address).await.unwrap();
    assert!(sidecar.wait_for_log("peers").await.contains("11 bytes"));
    for datagram in [&[0u8; 300][..], &[1; 23], &[], &[255; 256]] {
        sidecar.peer.send_to(datagram, sidecar.peer_address).await.unwrap();
    }
    let mut client = sidecar.connect_client().await;
    invoke_successfully(&mut client, &mut pod).await;
}

/// The environment variable BALANCER_DISCOVERY still holds the initial address of discovery when the
/// configuration is reloaded; the reloaded file must take precedence.
#[rstest]
#[case::while_ready(false)]
#[case::while_leaving(true)]
#[tokio::test]
async fn config_reload_switches_discovery_and_platform_without_losing_invocations(#[case] leaving: bool) {
    let (mut old, mut new) = (start_pod().await, start_pod().await);
    let mut sidecar = Sidecar::start(&[old.address]).await;
    let (mut client, mut idle) = (sidecar.connect_client().await, sidecar.connect_client().await);
    client.send(LOOKUP).await;
    let request = old.next_request().await;
    if leaving {
        sidecar.send_signal(Signal::SIGTERM);
        sidecar.wait_for_log("state=Leaving").await;
    }
    let (mut discovery, mut platform) = (start_pod().await, start_pod().await);
    let mut config = sidecar.config.clone();
    config["discovery"] = json!(discovery.address.to_string());
    config["pipeline"]["address"] = json!(platform.address.to_string());
    let text = config.to_string();
    sidecar.reload_config(&text[..text.len() / 2]);
    assert!(sidecar.wait_for_log("configuration is read again").await.contains("configuration"));
    sidecar.reload_config(&text);
    // Another discovery server may number its versions differently, so the subscription names none.
    let discovery_stream = discovery.next_request().await;
    assert_eq!(discovery_stream.target(), "/v1/endpoints?stream=1");
    assert!(platform.next_request().await.head.starts_with("GET /stream"));
    request.respond("200 OK", "", "from before");
    assert_eq!(client.read_response().await.0, 200);
    if leaving {
        sidecar.wait_for_log("state=Stopped").await;
        return;
    }
    // The last list stays in use until the new discovery server sends one.
    invoke_successfully(&mut idle, &mut old).await;
    discovery_stream.start_chunked("application/json");
    discovery_stream.send_chunk(&pod_list(3, true, &[pod_entry("pod-9", new.address, "in_service", 1)]));
    sidecar.discovery.next_closed().await;
    old.next_closed().await;
    invoke_successfully(&mut idle, &mut new).await;
}

/// Runs a subcommand of the program with this configuration until it ends.
fn run(command: &str, config: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, config).unwrap();
    let program = env!("CARGO_BIN_EXE_stagepond");
    Command::new(program).arg(command).env("BALANCER_CONFIG", &path).output().unwrap()
}

#[rstest]
#[case::not_json("{", "configuration")]
#[case::listen(r#"{"listen":"here"}"#, "listen")]
#[case::seed(r#"{"seed":"not hex"}"#, "seed")]
#[case::discovery(r#"{"discovery":null}"#, "discovery")]
#[case::limits(r#"{"limits":{"sockets":3}}"#, "limits.sockets")]
#[case::peers(r#"{"peers":["127.0.0.1:9"]}"#, "peers")]
#[case::known(r#"{"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a"}]}}"#, "known")]
#[case::settings(r#"{"settings":{}}"#, "settings: /")]
fn invalid_configuration_is_reported_in_one_line_with_the_field(#[case] invalid: &str, #[case] field: &str) {
    let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"sockets": 256}, "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9", "127.0.0.1:10"],
        "settings": balancer_settings()});
    assert!(run("check", &config.to_string()).status.success());
    let text = match serde_json::from_str::<Value>(invalid) {
        Ok(change) => {
            config.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
            config.to_string()
        }
        Err(_) => invalid.to_string(),
    };
    for command in ["check", "serve"] {
        let output = run(command, &text);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(stderr.starts_with("stagepond: ") && stderr.contains(field), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}
