//! Answers that stay open, read line by line: what the watch on discovery and the platform's stream share.
//! It owns how such a connection is opened and when it counts as silent; it must never know what a line
//! means.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::TokioExecutor;
use tokio::io::AsyncRead;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

/// For a connection to come up and an answer to begin: both ends are near, and a next try follows.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(1000);
/// The most lines of one kind that bad input may put into the log.
const COMPLAIN_EVERY: Duration = Duration::from_secs(1);

/// A client without a pool: what it opens is used once.
pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(OPEN_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector)
}

pub struct LineStream(FramedRead<Box<dyn AsyncRead + Send + Unpin>, LinesCodec>);

pub async fn open(address: SocketAddr, target: &str, line_max: usize) -> Result<LineStream> {
    let get = Request::get(format!("http://{address}{target}")).body(Full::default())?;
    let answer = tokio::time::timeout(OPEN_TIMEOUT, client().request(get)).await;
    let answer = answer.context("no answer")??;
    if answer.status() != StatusCode::OK {
        bail!("answered {}", answer.status());
    }
    let frames = BodyStream::new(answer.into_body().map_err(std::io::Error::other));
    let data = frames.try_filter_map(|frame| std::future::ready(Ok(frame.into_data().ok())));
    let reader: Box<dyn AsyncRead + Send + Unpin> = Box::new(StreamReader::new(Box::pin(data)));
    Ok(LineStream(FramedRead::new(reader, LinesCodec::new_with_max_length(line_max))))
}

impl LineStream {
    pub async fn next(&mut self, silence: Duration) -> Result<String> {
        let line = tokio::time::timeout(silence, self.0.next()).await.context("silent for too long")?;
        Ok(line.ok_or_else(|| anyhow!("the connection ended"))??)
    }
}

/// Logs bad input at a bounded rate, and then how much was left out.
#[derive(Default)]
pub struct RateLimitedLog(Mutex<(Option<Instant>, u64)>);

impl RateLimitedLog {
    pub fn warn(&self, what: impl Display) {
        let mut state = self.0.lock().expect("never held while panicking");
        if state.0.is_some_and(|last| last.elapsed() < COMPLAIN_EVERY) {
            state.1 += 1;
            return;
        }
        let left_out = std::mem::take(&mut state.1);
        state.0 = Some(Instant::now());
        drop(state);
        tracing::warn!(left_out, "{what}");
    }
}
