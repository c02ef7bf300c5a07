//! HTTP responses that stay open and are read line by line, as the watch on discovery and the platform's
//! event stream are. This module opens such a response and detects when it has gone silent; what a line means
//! is for the caller to decide. It also has the rate-limited log of bad input.

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

/// Time limit for a connection to be established. It is short since both ends are close to each other and a
/// failure is followed by another attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for the head of a response to arrive. Discovery works off its calls in turn and lets each wait for
/// up to 2 s; a call that is given up earlier waits again from the start.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Shortest time between two lines that one [`RateLimitedLog`] writes.
const MIN_WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Creates an HTTP client without a connection pool, as each connection serves a single request.
pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector)
}

/// The lines of a response body.
pub struct LineStream(FramedRead<Box<dyn AsyncRead + Send + Unpin>, LinesCodec>);

/// Sends a GET request and returns the lines of its response; a line has at most `max_line_bytes` bytes.
///
/// # Errors
///
/// Fails if no connection stands within [`CONNECT_TIMEOUT`], no response begins within [`RESPONSE_TIMEOUT`] or its status is not 200.
pub async fn open(address: SocketAddr, target: &str, max_line_bytes: usize) -> Result<LineStream> {
    let request = Request::get(format!("http://{address}{target}")).body(Full::default())?;
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, client().request(request)).await;
    let response = response.context("no response in time")??;
    if response.status() != StatusCode::OK {
        bail!("unexpected response status {}", response.status());
    }
    let frames = BodyStream::new(response.into_body().map_err(std::io::Error::other));
    let data = frames.try_filter_map(|frame| std::future::ready(Ok(frame.into_data().ok())));
    let reader: Box<dyn AsyncRead + Send + Unpin> = Box::new(StreamReader::new(Box::pin(data)));
    Ok(LineStream(FramedRead::new(reader, LinesCodec::new_with_max_length(max_line_bytes))))
}

impl LineStream {
    /// Waits for the next line.
    ///
    /// # Errors
    ///
    /// Fails if no line arrives within `max_silence`, if the connection ends or breaks, or if the line is too
    /// long or not UTF-8.
    pub async fn next(&mut self, max_silence: Duration) -> Result<String> {
        let line = tokio::time::timeout(max_silence, self.0.next()).await.context("silent for too long")?;
        Ok(line.ok_or_else(|| anyhow!("the connection ended"))??)
    }
}

/// Logs warnings about bad input, at most one a second. The field `left_out` of a line counts the warnings
/// that were suppressed since the line before.
#[derive(Default)]
pub struct RateLimitedLog(Mutex<RateLimitState>);

#[derive(Default)]
struct RateLimitState {
    last_warning: Option<Instant>,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Logs a warning, or counts it if the last line is less than a second old.
    pub fn warn(&self, warning: impl Display) {
        self.warn_with(|| warning);
    }

    /// Like [`RateLimitedLog::warn`], with a warning that is made only if it is logged.
    pub fn warn_with<Warning: Display>(&self, make_warning: impl FnOnce() -> Warning) {
        let mut state = self.0.lock().expect("no holder of the lock panics");
        if state.last_warning.is_some_and(|last| last.elapsed() < MIN_WARNING_INTERVAL) {
            state.suppressed += 1;
            return;
        }
        let left_out = std::mem::take(&mut state.suppressed);
        state.last_warning = Some(Instant::now());
        drop(state);
        tracing::warn!(left_out, "{}", make_warning());
    }
}
