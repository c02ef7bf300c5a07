//! The client of the platform that rolls out builds: reads its event stream and casts votes.
//!
//! This module knows the wire format of both. It neither judges builds nor retries votes: a vote that failed
//! is reported, and the decision module decides what follows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use stagepond::host::*;
use stagepond_facts::Names;
use stagepond_leadership::lease::LeaderLease;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::body::read_body;
use crate::config::RawRolloutStatus;
use crate::messages::*;
use crate::stream::{self, RateLimitedLog};

/// Longest time between two lines of the event stream. The platform sends a keep-alive every second; two of
/// them may be late when the machine is busy.
const MAX_SILENCE: Duration = Duration::from_millis(3000);
/// Pause before a new connection. Events sent in between are not repeated, so it is short; it keeps the loop
/// from spinning while the platform is down.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const MAX_LINE_BYTES: usize = 64 << 10;
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The data of a `DISPUTE` event, which reports that an earlier answer of a pod was wrong.
#[derive(Deserialize)]
struct RawDispute {
    server: String,
    class: String,
    age_ms: f64,
}

/// Parses an event of the stream; `None` for an event of an unknown kind.
fn parse_event(kind: &str, data: &str, names: &Names) -> Result<Option<Input>> {
    Ok(match kind {
        "ROLLOUT" => Some(Input::RolloutStatusReceived(
            serde_urlencoded::from_str::<RawRolloutStatus>(data).context(kind.to_string())?.parse()?,
        )),
        "DISPUTE" => {
            let dispute: RawDispute = serde_urlencoded::from_str(data).context(kind.to_string())?;
            let Some(op) = names.operations.iter().position(|n| *n == dispute.class) else {
                bail!("DISPUTE: class {:?} is not in the settings", dispute.class);
            };
            if !(0.0..1e12).contains(&dispute.age_ms) {
                bail!("DISPUTE: age_ms {} is not a time from 0 to 1e12", dispute.age_ms);
            }
            let pod = PodName(dispute.server.into());
            let age = Tenths::floor_ms(dispute.age_ms);
            Some(Input::AnswerDisputed { pod, op: Op(op), age })
        }
        _ => None,
    })
}

/// Follows the event stream at the address in `address` for as long as the program runs. It reconnects when
/// the connection breaks or the address changes, and waits while there is no address.
pub async fn follow_rollout(
    mut address: watch::Receiver<Option<SocketAddr>>, names: Arc<Names>, inputs: mpsc::Sender<Input>,
) {
    let warnings = RateLimitedLog::default();
    loop {
        let current_address = *address.borrow_and_update();
        let attempt = async {
            let Some(current_address) = current_address else { return std::future::pending().await };
            let reason = run_session(current_address, &names, &inputs).await;
            warnings.warn(format_args!("platform: {reason:#}"));
            tokio::time::sleep(RECONNECT_DELAY).await;
        };
        tokio::select! {
            () = attempt => {}
            changed = address.changed() => if changed.is_err() { return },
        }
    }
}

/// Reads one connection until it can't be used any further, and returns the reason.
async fn run_session(address: SocketAddr, names: &Names, inputs: &mpsc::Sender<Input>) -> anyhow::Error {
    let mut lines = match stream::open(address, "/stream", MAX_LINE_BYTES).await {
        Ok(lines) => lines,
        Err(error) => return error,
    };
    let (mut kind, mut data) = (String::new(), String::new());
    loop {
        let line = match lines.next(MAX_SILENCE).await {
            Ok(line) => line,
            Err(error) => return error,
        };
        if !line.is_empty() {
            match line.split_once(':') {
                Some(("event", rest)) => kind = rest.trim_start().to_string(),
                Some(("data", rest)) => data = rest.trim_start().to_string(),
                Some(("" | "id" | "retry", _)) => {}
                // The response is not an event stream, so the lines after this one can't be trusted either.
                _ => return anyhow!("a line without a known event stream field: {line:?}"),
            }
            continue;
        }
        match parse_event(&std::mem::take(&mut kind), &std::mem::take(&mut data), names) {
            Ok(None) => {}
            Ok(Some(input)) => {
                if inputs.send(input).await.is_err() {
                    return anyhow!("the program is shutting down");
                }
            }
            Err(error) => return error,
        }
    }
}

/// Aborts a task when dropped, so that a connection ends with the vote that it was opened for.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A vote to be cast on a stage of a build's rollout.
pub struct VoteRequest {
    /// The build on trial.
    pub build: Build,
    /// Stage that the vote is about.
    pub stage: u32,
    /// `None` withdraws an earlier vote.
    pub verdict: Option<Verdict>,
    /// When to stop waiting for the platform's answer.
    pub deadline: Instant,
    /// The leader lease that permits the vote, where leadership is on. It is checked just before the vote is
    /// sent.
    pub lease: Option<LeaderLease>,
}

/// Casts votes one at a time in the order of their arrival, and reports each result as
/// [`Input::VoteAnswered`].
///
/// A vote in progress when the address changes stays with the old address, since it may count there.
pub async fn cast_votes(
    address: watch::Receiver<Option<SocketAddr>>, mut votes: mpsc::UnboundedReceiver<VoteRequest>,
    inputs: mpsc::Sender<Input>, clock: Clock,
) {
    while let Some(vote) = votes.recv().await {
        let current_address = *address.borrow();
        let answer = match current_address {
            Some(address) => tokio::time::timeout_at(vote.deadline, cast_vote(address, &vote, clock)).await,
            None => Ok(Err(Ending::NoConnection)),
        };
        let answer = answer.unwrap_or(Err(Ending::TimedOut));
        let term = vote.lease.map(|lease| lease.term().0);
        tracing::info!(
            event = "voted",
            build = vote.build.0,
            stage = vote.stage,
            verdict = ?vote.verdict,
            ?answer,
            term,
            "voted"
        );
        if inputs.send(Input::VoteAnswered(answer)).await.is_err() {
            return;
        }
    }
}

/// Sends a vote and returns the platform's answer. [`Ending::TimedOut`] is reported for every result after which
/// it is unknown whether the vote counted.
async fn cast_vote(address: SocketAddr, vote: &VoteRequest, clock: Clock) -> Result<RolloutStatus, Ending> {
    let verdict = match vote.verdict {
        None => "abstain",
        Some(Verdict::On) => "promote",
        Some(Verdict::Hold) => "pause",
        Some(Verdict::Back) => "abort",
    };
    let (build, stage) = (vote.build.0, vote.stage);
    let form = format!("Action=PutApproval&build={build}&stage={stage}&verdict={verdict}");
    let request = Request::post("/")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/x-www-form-urlencoded")
        .body(Full::<Bytes>::from(form))
        .expect("valid headers");
    let connected = tokio::time::timeout(stream::CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(connection)) = connected else { return Err(Ending::NoConnection) };
    let _ = connection.set_nodelay(true);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(connection)).await;
    let Ok((mut sender, connection)) = handshake else { return Err(Ending::NoConnection) };
    // The check is repeated here because this process may have been paused or cut off since the vote was
    // decided, and may no longer lead.
    if let Some(lease) = &vote.lease {
        let now = clock.now();
        if let Err(expired) = lease.check(now) {
            tracing::warn!(
                event = "vote_stopped",
                build = vote.build.0,
                stage = vote.stage,
                term = lease.term().0,
                "{expired}"
            );
            return Err(Ending::NoConnection);
        }
        let (term, holder, number) = (lease.term().0, lease.holder().0, lease.commit_number().0);
        let (at, until) = (now.0, lease.expires_at().0);
        tracing::info!(
            event = "vote_cast",
            build = vote.build.0,
            stage = vote.stage,
            verdict,
            term,
            holder,
            number,
            at,
            until,
            "vote cast"
        );
    }
    let _connection_task = AbortOnDrop(tokio::spawn(connection).abort_handle());
    // From here on the platform may have received the vote, so any failure means that the result is unknown.
    let response = sender.send_request(request).await.map_err(|_| Ending::TimedOut)?;
    let status = response.status();
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
    parse_vote_response(status, &body.map_err(|_| Ending::TimedOut)?)
}

/// The XML form of the response to a vote that was accepted.
#[derive(Deserialize)]
struct VoteResponse {
    entries: VoteResponseEntries,
}

#[derive(Deserialize)]
struct VoteResponseEntries {
    item: RawRolloutStatus,
}

/// The XML form of the response to a vote that was refused.
#[derive(Deserialize)]
struct ErrorResponse {
    #[serde(rename = "Code")]
    code: String,
}

fn parse_vote_response(status: StatusCode, body: &[u8]) -> Result<RolloutStatus, Ending> {
    let text = std::str::from_utf8(body).map_err(|_| Ending::TimedOut)?;
    if status == StatusCode::OK {
        let response = quick_xml::de::from_str::<VoteResponse>(text).map_err(|_| Ending::TimedOut)?;
        return response.entries.item.parse().map_err(|_| Ending::TimedOut);
    }
    let error = quick_xml::de::from_str::<ErrorResponse>(text).map_err(|_| Ending::TimedOut)?;
    Err(match error.code.as_str() {
        "throttled" => Ending::Full,
        "conflict" | "invalid" => Ending::Moot,
        "internal" => Ending::Error,
        _ => Ending::TimedOut,
    })
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn error_response(code: &str) -> String {
        format!("<Error><Code>{code}</Code></Error>")
    }

    #[rstest]
    #[case::throttled(400, error_response("throttled"), Ending::Full)]
    #[case::conflict(400, error_response("conflict"), Ending::Moot)]
    #[case::invalid(400, error_response("invalid"), Ending::Moot)]
    #[case::internal(500, error_response("internal"), Ending::Error)]
    #[case::unknown_code(400, error_response("other"), Ending::TimedOut)]
    #[case::garbage(200, "<Response><entr".to_string(), Ending::TimedOut)]
    #[case::empty_body(200, String::new(), Ending::TimedOut)]
    fn a_vote_counts_only_if_the_response_says_so(
        #[case] status: u16, #[case] body: String, #[case] ending: Ending,
    ) {
        assert_eq!(parse_vote_response(StatusCode::from_u16(status).unwrap(), body.as_bytes()), Err(ending));
    }

    /// A lease from an instance that is the only voter and so becomes the leader.
    fn lease_from(now: Tenths) -> LeaderLease {
        use stagepond_leadership::ids::{Life, Seat};
        use stagepond_leadership::instance::{Input, Instance, InstanceConfig};
        use stagepond_leadership::{planted::Planted, seal::*, settings::Settings};
        let (settings, keys) = (Settings::default_for(1), KeySet::new(Key::new(1, &[7; 32]).unwrap()));
        let (seat, life, planted) = (Seat(0), Life(1), Planted::default());
        let mut instance = Instance::new(InstanceConfig {
            now,
            seat,
            life,
            seed: 1,
            settings,
            keys,
            persisted: None,
            planted,
        });
        (0..100)
            .map(|n| now + Tenths::ms(100 * n))
            .find_map(|now| {
                instance.step(now, Input::Tick);
                instance.lease(now)
            })
            .expect("the only voter becomes the leader")
    }

    /// A leader that is paused between the commit of a vote and its write, until its lease has expired,
    /// must not send the vote when it resumes.
    #[rstest]
    #[case::in_time(true)]
    #[case::paused(false)]
    #[tokio::test]
    async fn no_byte_of_a_vote_is_sent_after_its_lease_expired(#[case] in_time: bool) {
        use tokio::io::AsyncReadExt;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let clock = Clock::start();
        let lease_start = if in_time { clock.now() } else { clock.now() - Tenths::ms(60_000) };
        let (build, stage, verdict, deadline) = (Build(2), 0, Some(Verdict::On), Instant::now());
        let vote = VoteRequest { build, stage, verdict, deadline, lease: Some(lease_from(lease_start)) };
        let cast = tokio::spawn(async move { cast_vote(address, &vote, clock).await });
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = [0; 1];
        let bytes = stream.read(&mut read).await.unwrap();
        drop(stream);
        assert_eq!(
            (bytes > 0, cast.await.unwrap()),
            (in_time, Err(if in_time { Ending::TimedOut } else { Ending::NoConnection }))
        );
    }

    #[rstest]
    #[case::unknown_phase("ROLLOUT", "build=2&stage=0&phase=Dancing&cap=0.1&age_ms=1")]
    #[case::cap_above_all("ROLLOUT", "build=2&stage=0&phase=Progressing&cap=1.5&age_ms=1")]
    #[case::no_time("ROLLOUT", "build=2&stage=0&phase=Progressing&cap=0.5&age_ms=NaN")]
    #[case::half_a_line("ROLLOUT", "build=2&sta")]
    #[case::unknown_operation("DISPUTE", "server=a&class=dance&age_ms=3")]
    #[case::no_age("DISPUTE", "server=a&class=lookup&age_ms=-3")]
    fn a_malformed_event_is_an_error_and_an_unknown_event_is_ignored(#[case] kind: &str, #[case] data: &str) {
        let names = Names { operations: vec!["lookup".into()], zones: vec![], machine_kinds: vec![] };
        assert!(parse_event(kind, data, &names).is_err());
        assert!(parse_event("SOMETHING_NEW", data, &names).unwrap().is_none());
    }
}
