//! The platform that rolls builds out: its stream of news in, votes out. It owns the wording of both; it
//! must never judge a build nor repeat a vote: a vote that came to nothing is told, and the module decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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

use crate::launch::StandingForm;
use crate::messages::*;
use crate::stream::{self, Complaints};

/// A sign of life comes every second; two may be lost to a busy machine.
const SILENCE: Duration = Duration::from_millis(3000);
/// What is told meanwhile is not told again, so a new try soon; still no spin while it is away.
const RECONNECT: Duration = Duration::from_millis(200);
const LINE_MAX: usize = 64 << 10;
const ANSWER_MAX: usize = 64 << 10;

#[derive(Deserialize)]
struct Dispute {
    server: String,
    class: String,
    age_ms: f64,
}

fn event(kind: &str, data: &str, names: &Names) -> Result<Option<Input>> {
    Ok(match kind {
        "ROLLOUT" => Some(Input::RolloutStatusReceived(
            serde_urlencoded::from_str::<StandingForm>(data).context(kind.to_string())?.read()?,
        )),
        "DISPUTE" => {
            let told: Dispute = serde_urlencoded::from_str(data).context(kind.to_string())?;
            let Some(op) = names.operations.iter().position(|n| *n == told.class) else {
                bail!("DISPUTE: class {:?} is not in the settings", told.class);
            };
            if !(0.0..1e12).contains(&told.age_ms) {
                bail!("DISPUTE: age_ms {} is no time", told.age_ms);
            }
            let (pod, age) = (PodName(told.server.into()), Tenths::floor_ms(told.age_ms));
            Some(Input::AnswerDisputed { pod, op: Op(op), age })
        }
        _ => None,
    })
}

/// Reads the stream for as long as the program runs.
pub async fn listen(
    mut place: watch::Receiver<Option<SocketAddr>>, names: Arc<Names>, inputs: mpsc::Sender<Input>,
) {
    let complaints = Complaints::default();
    loop {
        let address = *place.borrow_and_update();
        let tried = async {
            let Some(address) = address else { return std::future::pending().await };
            let why = session(address, &names, &inputs).await;
            complaints.say(format_args!("platform: {why:#}"));
            tokio::time::sleep(RECONNECT).await;
        };
        tokio::select! {
            () = tried => {}
            moved = place.changed() => if moved.is_err() { return },
        }
    }
}

/// One connection, until it is of no further use; why that is.
async fn session(address: SocketAddr, names: &Names, inputs: &mpsc::Sender<Input>) -> anyhow::Error {
    let mut lines = match stream::open(address, "/stream", LINE_MAX).await {
        Ok(lines) => lines,
        Err(error) => return error,
    };
    let (mut kind, mut data) = (String::new(), String::new());
    loop {
        let line = match lines.next(SILENCE).await {
            Ok(line) => line,
            Err(error) => return error,
        };
        if !line.is_empty() {
            match line.split_once(':') {
                Some(("event", rest)) => kind = rest.trim_start().to_string(),
                Some(("data", rest)) => data = rest.trim_start().to_string(),
                Some(("" | "id" | "retry", _)) => {}
                // Not of an event stream at all: what comes behind it can't be trusted either.
                _ => return anyhow!("a line that is none of an event stream: {line:?}"),
            }
            continue;
        }
        match event(&std::mem::take(&mut kind), &std::mem::take(&mut data), names) {
            Ok(None) => {}
            Ok(Some(input)) => {
                if inputs.send(input).await.is_err() {
                    return anyhow!("the program ends");
                }
            }
            Err(error) => return error,
        }
    }
}

/// A connection ends with the call that it was opened for.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub struct Vote {
    pub build: Build,
    pub stage: u32,
    pub verdict: Option<Verdict>,
    pub until: Instant,
    pub mandate: Option<LeaderLease>,
}

/// Carries votes out one after the other, as they came. One that is out when the platform moves stays where
/// it went: it may count there.
pub async fn votes(
    place: watch::Receiver<Option<SocketAddr>>, mut votes: mpsc::UnboundedReceiver<Vote>,
    inputs: mpsc::Sender<Input>, clock: Clock,
) {
    while let Some(vote) = votes.recv().await {
        let address = *place.borrow();
        let answer = match address {
            Some(address) => tokio::time::timeout_at(vote.until, put(address, &vote, clock)).await,
            None => Ok(Err(Ending::NoConnection)),
        };
        let answer = answer.unwrap_or(Err(Ending::TimedOut));
        let term = vote.mandate.map(|m| m.term().0);
        tracing::info!(event = "voted", build = vote.build.0, stage = vote.stage, verdict = ?vote.verdict, ?answer, term, "voted");
        if inputs.send(Input::VoteAnswered(answer)).await.is_err() {
            return;
        }
    }
}

async fn put(address: SocketAddr, vote: &Vote, clock: Clock) -> Result<RolloutStatus, Ending> {
    let verdict = match vote.verdict {
        None => "abstain",
        Some(Verdict::On) => "promote",
        Some(Verdict::Hold) => "pause",
        Some(Verdict::Back) => "abort",
    };
    let (build, stage) = (vote.build.0, vote.stage);
    let form = format!("Action=PutApproval&build={build}&stage={stage}&verdict={verdict}");
    let post = Request::post("/")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/x-www-form-urlencoded")
        .body(Full::<Bytes>::from(form))
        .expect("an address and a form make a call");
    let connected = tokio::time::timeout(stream::OPEN_WITHIN, TcpStream::connect(address)).await;
    let Ok(Ok(connection)) = connected else { return Err(Ending::NoConnection) };
    let _ = connection.set_nodelay(true);
    let opened = hyper::client::conn::http1::handshake(TokioIo::new(connection)).await;
    let Ok((mut sender, connection)) = opened else { return Err(Ending::NoConnection) };
    // Whoever has stopped leading meanwhile, by being paused or cut off, must not act on what it believed then.
    if let Some(mandate) = &vote.mandate {
        let now = clock.now();
        if let Err(expired) = mandate.check(now) {
            tracing::warn!(
                event = "vote_stopped",
                build = vote.build.0,
                stage = vote.stage,
                term = mandate.term().0,
                "{expired}"
            );
            return Err(Ending::NoConnection);
        }
        let (term, holder, number) = (mandate.term().0, mandate.holder().0, mandate.commit_number().0);
        let (at, until) = (now.0, mandate.expires_at().0);
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
    let _carried = AbortOnDrop(tokio::spawn(connection).abort_handle());
    // Past this point it may have been carried out: then "nothing known" is the only true answer.
    let answer = sender.send_request(post).await.map_err(|_| Ending::TimedOut)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await.map_err(|_| Ending::TimedOut)?;
    outcome(status, &body.to_bytes())
}

#[derive(Deserialize)]
struct Answer {
    entries: Entries,
}

#[derive(Deserialize)]
struct Entries {
    item: StandingForm,
}

#[derive(Deserialize)]
struct Fault {
    #[serde(rename = "Code")]
    code: String,
}

fn outcome(status: StatusCode, body: &Bytes) -> Result<RolloutStatus, Ending> {
    let text = std::str::from_utf8(body).map_err(|_| Ending::TimedOut)?;
    if status == StatusCode::OK {
        let answer = quick_xml::de::from_str::<Answer>(text).map_err(|_| Ending::TimedOut)?;
        return answer.entries.item.read().map_err(|_| Ending::TimedOut);
    }
    let fault = quick_xml::de::from_str::<Fault>(text).map_err(|_| Ending::TimedOut)?;
    Err(match fault.code.as_str() {
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

    fn faulty(code: &str) -> String {
        format!("<Error><Code>{code}</Code></Error>")
    }

    #[rstest]
    #[case::throttled(400, faulty("throttled"), Ending::Full)]
    #[case::conflict(400, faulty("conflict"), Ending::Moot)]
    #[case::invalid(400, faulty("invalid"), Ending::Moot)]
    #[case::internal(500, faulty("internal"), Ending::Error)]
    #[case::unknown_fault(400, faulty("other"), Ending::TimedOut)]
    #[case::garbage(200, "<Response><entr".to_string(), Ending::TimedOut)]
    #[case::no_text(200, String::new(), Ending::TimedOut)]
    fn a_vote_counts_only_where_the_answer_says_so(
        #[case] status: u16, #[case] body: String, #[case] ending: Ending,
    ) {
        assert_eq!(outcome(StatusCode::from_u16(status).unwrap(), &body.into()), Err(ending));
    }

    /// Leave to vote, from an instance that leads alone.
    fn mandate(now: Tenths) -> LeaderLease {
        use stagepond_leadership::ids::{Life, Seat};
        use stagepond_leadership::instance::{Input, Instance, InstanceConfig};
        use stagepond_leadership::{planted::Planted, seal::*, settings::Settings};
        let (bounds, keys) = (Settings::default_for(1), KeySet::new(Key::new(1, &[7; 32]).unwrap()));
        let (seat, life, planted) = (Seat(0), Life(1), Planted::default());
        let mut instance = Instance::new(InstanceConfig {
            now,
            seat,
            life,
            seed: 1,
            settings: bounds,
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
            .expect("nobody else could lead")
    }

    /// A vote whose leader was paused between decree and write, as long as it takes the mandate to run out.
    #[rstest]
    #[case::in_time(true)]
    #[case::paused(false)]
    #[tokio::test]
    async fn no_byte_of_a_vote_goes_out_after_its_mandate(#[case] in_time: bool) {
        use tokio::io::AsyncReadExt;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let clock = Clock::start();
        let begun = if in_time { clock.now() } else { clock.now() - Tenths::ms(60_000) };
        let (build, stage, verdict, until) = (Build(2), 0, Some(Verdict::On), Instant::now());
        let vote = Vote { build, stage, verdict, until, mandate: Some(mandate(begun)) };
        let cast = tokio::spawn(async move { put(address, &vote, clock).await });
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
    fn malformed_news_is_told_apart_from_news(#[case] kind: &str, #[case] data: &str) {
        let names = Names { operations: vec!["lookup".into()], zones: vec![], kinds: vec![] };
        assert!(event(kind, data, &names).is_err());
        assert!(event("SOMETHING_NEW", data, &names).unwrap().is_none());
    }
}
