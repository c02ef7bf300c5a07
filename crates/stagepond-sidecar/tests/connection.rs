//! Tests of the connections that record what passes over them, on loopback sockets.

use std::future::poll_fn;
use std::io::IoSlice;
use std::pin::Pin;

use hyper::rt::Write;
use rstest::rstest;
use stagepond_sidecar::connection::{ConnectionTrace, TracedConnection};
use stagepond_sidecar::messages::Clock;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const HEAD: &[u8] = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\n";
const BODY: &[u8] = b"body";

/// Guards against a body that is copied behind its head before it is sent: with large requests under way a
/// process took a quarter more than its memory limit.
#[rstest]
#[tokio::test]
async fn head_and_body_are_written_together_without_being_joined() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (trace, to) = (ConnectionTrace::default(), listener.local_addr().unwrap());
    let mut connection = TracedConnection::connect(to, trace.clone(), Clock::start()).await.unwrap();
    let (mut peer, _) = listener.accept().await.unwrap();
    trace.begin_message(BODY.len());
    assert!(connection.is_write_vectored());
    let slices = [IoSlice::new(HEAD), IoSlice::new(BODY)];
    let written = poll_fn(|cx| Pin::new(&mut connection).poll_write_vectored(cx, &slices)).await.unwrap();
    assert_eq!((written, trace.is_message_written()), (HEAD.len() + BODY.len(), true));
    let mut received = vec![0; written];
    peer.read_exact(&mut received).await.unwrap();
    assert_eq!(received, [HEAD, BODY].concat());
}
