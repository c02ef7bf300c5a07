//! Tests of responses that stay open and are read line by line.

use std::time::Duration;

use rstest::rstest;
use stagepond_sidecar::stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A sound answer of discovery may take 2 s to begin; this one takes three quarters of that.
const RESPONSE_DELAY: Duration = Duration::from_millis(1500);
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// Guards against review/9: a call of discovery was given up after 1 s and began anew without end, so that a
/// sidecar never heard of a list.
#[rstest]
#[tokio::test]
async fn a_response_that_begins_late_is_waited_for() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        assert!(connection.read(&mut [0; 1024]).await.unwrap() > 0);
        tokio::time::sleep(RESPONSE_DELAY).await;
        connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nline\n").await.unwrap();
    });
    let mut lines = stream::open(address, "/", 1024).await.unwrap();
    assert_eq!(lines.next(MAX_SILENCE).await.unwrap(), "line");
}
