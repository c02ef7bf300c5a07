//! Tests of the client of pods, on loopback sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use rstest::rstest;
use stagepond::host::{Ending, Tenths};
use stagepond_sidecar::config::TransportConfig;
use stagepond_sidecar::memory::MemoryBudget;
use stagepond_sidecar::messages::{Clock, DispatchId, ForwardedRequest, Input};
use stagepond_sidecar::pods::PodClient;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TRANSPORT: TransportConfig = TransportConfig {
    connect_timeout: Tenths::ms(1000),
    idle_timeout: Tenths::ms(15_000),
    max_sockets: 64,
    memory_bytes: 32 << 20,
};

fn request() -> Arc<ForwardedRequest> {
    let target = PathAndQuery::from_static("/order");
    let (headers, body) = (HeaderMap::new(), "once".into());
    Arc::new(ForwardedRequest { method: Method::POST, target, headers, body })
}

/// Dispatches to `to` and withdraws the dispatch after some turns of the runtime. Returns whether it ended unsent.
async fn withdraw_after(turns: usize, to: SocketAddr, inputs: &mut mpsc::UnboundedReceiver<Input>) -> bool {
    let (sender, receiver) = mpsc::unbounded_channel();
    *inputs = receiver;
    let mut pods = PodClient::new(4, TRANSPORT, MemoryBudget::new(1 << 20), Clock::start(), sender);
    pods.dispatch(DispatchId(1), request(), to, Tenths::ms(1000));
    for _ in 0..turns {
        tokio::task::yield_now().await;
    }
    pods.withdraw(DispatchId(1));
    let unsent = match inputs.try_recv() {
        Ok(Input::DispatchEnded(DispatchId(1), outcome)) => outcome.ending == Ending::Moot,
        _ => false,
    };
    if !unsent {
        pods.abort(DispatchId(1));
    }
    unsent
}

/// Guards against attempts that wait for their connection and begin after their client has left.
#[rstest]
#[tokio::test]
async fn withdrawn_dispatch_either_sends_nothing_or_had_begun() {
    let mut withdrawn = 0;
    for turns in 0..12 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_, mut inputs) = mpsc::unbounded_channel();
        let unsent = withdraw_after(turns, listener.local_addr().unwrap(), &mut inputs).await;
        withdrawn += usize::from(unsent);
        // A connection of this test is queued behind the dispatch's, if that one was opened at all.
        let _last = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut stream, from) = listener.accept().await.unwrap();
        if from != _last.local_addr().unwrap() {
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received).await;
            assert_eq!(received.is_empty(), unsent, "withdrawn after {turns} turns");
        }
    }
    assert!(withdrawn > 0, "every dispatch had begun");
}
