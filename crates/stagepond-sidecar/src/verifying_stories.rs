//! Short stories of verified operations: pods that serve stale, spoilt or no packs, metadata that end, a
//! repository that is away or goes back. Inputs in, effects out, no sockets.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::Method;
use rstest::rstest;
use stagepond::host::*;
use stagepond_tuf::client::{TrustedState, VersionFloors};
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::{UnixSeconds, ROOT, SNAPSHOT, TARGETS, TIMESTAMP};
use stagepond_tuf::repository::{ExpiryPeriods, MetadataFile, Repository};
use stagepond_tuf::target::describe_target;

use crate::messages::*;
use crate::reducer_tests::{pod_entry, test_facts, ReducerHarness, START_TIME};
use crate::verifying::{Asked, Ended, Verifying};

const PACK: &str = "round-7.tgz";
const METADATA: &str = "/round-pack/metadata/";
const HOUR: i64 = 3600;

struct Repo {
    secret: SigningKey,
    repository: Repository,
    files: BTreeMap<String, Vec<u8>>,
}

impl Repo {
    fn new() -> Repo {
        let secret = SigningKey::from_seed([9; 32]);
        let keys = || (vec![&secret], 1);
        let roles = [ROOT, TARGETS, SNAPSHOT, TIMESTAMP].map(|role| (role.to_string(), keys())).into();
        let terms = ExpiryPeriods {
            root: 900 * HOUR,
            targets: 900 * HOUR,
            snapshot: 48 * HOUR,
            timestamp: 24 * HOUR,
        };
        let mut repository = Repository::new(&roles, terms).unwrap();
        let root = repository.publish_root(&[&secret], now(START_TIME)).unwrap();
        Repo { files: [(root.path, root.bytes)].into(), secret, repository }
    }

    fn publish(&mut self, pack: &[u8], at: Tenths) {
        self.repository.targets.targets.insert(PACK.into(), describe_target(pack));
        let written = self.repository.publish(&[&self.secret], now(at)).unwrap();
        self.files.extend(written.into_iter().map(|MetadataFile { path, bytes }| (path, bytes)));
    }
}

fn now(at: Tenths) -> UnixSeconds {
    UnixSeconds(at.0 / 10_000)
}

struct Evening {
    story: ReducerHarness,
    repo: Repo,
    /// What each pod gives for the pack.
    packs: Vec<Vec<u8>>,
    /// Nothing of the metadata is to be had.
    away: bool,
    fetched: usize,
    kept: Option<TrustedState>,
    answers: Vec<(InvocationNumber, FinalAnswer)>,
    next: u64,
}

impl Evening {
    fn begins(packs: &[&str], ended: Ended, kept: Option<TrustedState>, repo: Repo) -> Evening {
        let root = repo.files["1.root.json"].clone();
        let (op, targets, metadata) = (Op(0), "/round-pack/".to_string(), METADATA.to_string());
        let refresh_every = Tenths::ms(60_000);
        let asked = Asked {
            op,
            targets,
            metadata,
            root,
            kept,
            refresh_every,
            ended,
            floors: VersionFloors::default(),
        };
        let rows = (1..=packs.len() as u16).map(|n| pod_entry(n, 1)).collect();
        let verifying = Verifying::new(START_TIME, asked, 1).unwrap();
        let story = ReducerHarness::with_parts(test_facts(), rows, None, Some(verifying));
        let packs = packs.iter().map(|pack| pack.as_bytes().to_vec()).collect();
        let mut evening =
            Evening { story, repo, packs, away: false, fetched: 0, kept: None, answers: Vec::new(), next: 0 };
        evening.pass(Tenths::ms(1000));
        evening
    }

    fn usual(packs: &[&str]) -> Evening {
        let mut repo = Repo::new();
        repo.publish(b"the good pack", START_TIME);
        Evening::begins(packs, Ended::Refuse, None, repo)
    }

    /// Pods answer what is sent to them, until nothing more is.
    fn carry(&mut self, effects: Vec<Effect>) {
        let mut left = effects;
        while !left.is_empty() {
            let mut next = Vec::new();
            for effect in left {
                match effect {
                    Effect::Dispatch { id, request, to, .. } => {
                        let outcome = self.pod(&request, to.port() - 1000);
                        next.extend(self.story.apply(Input::DispatchEnded(id, outcome)));
                    }
                    Effect::Answer(ticket, answer) => self.answers.push((ticket, answer)),
                    Effect::PersistTrustedMetadata(kept) => self.kept = Some(kept),
                    _ => {}
                }
            }
            left = next;
        }
    }

    fn pod(&mut self, call: &ForwardedRequest, pod: u16) -> DispatchOutcome {
        let at = self.story.now;
        let name = call.target.path().strip_prefix(METADATA);
        let body = match name {
            Some(name) => {
                self.fetched += 1;
                self.repo.files.get(name).cloned()
            }
            None => Some(self.packs[usize::from(pod) - 1].clone()),
        };
        let lost = name.is_some() && self.away;
        let ending = if body.is_some() && !lost { Ending::Succeeded } else { Ending::Error };
        let absent = body.is_none() && !lost;
        let reply =
            ForwardedResponse { body: body.unwrap_or_default().into(), ..ForwardedResponse::default() };
        DispatchOutcome { ending, ended_at: at, in_flight: None, response: reply, not_found: absent }
    }

    fn pass(&mut self, time: Tenths) {
        let until = self.story.now + time;
        while self.story.now < until {
            let due = self.story.reducer.next_due().max(self.story.now + Tenths(1));
            self.story.now = due.min(until);
            let effects = self.story.apply(Input::Tick);
            self.carry(effects);
        }
    }

    fn asks(&mut self) -> FinalAnswer {
        self.next += 1;
        let (ticket, id) = (InvocationNumber(self.next), RequestId(format!("{}", self.next).into()));
        let target = format!("/round-pack/{PACK}").parse().unwrap();
        let call = ForwardedRequest {
            method: Method::GET,
            target,
            headers: Default::default(),
            body: Default::default(),
        };
        let until = self.story.now + Tenths::ms(2000);
        let effects = self.story.apply(Input::InvocationReceived {
            number: ticket,
            request_id: id,
            request: Arc::new(call),
            op: Op(0),
            deadline: until,
        });
        self.carry(effects);
        self.pass(Tenths::ms(2100));
        let mut answers = self.answers.iter().filter(|(t, _)| *t == ticket);
        let answer = answers.next().expect("one final answer").1.clone();
        assert!(answers.next().is_none(), "and no other");
        answer
    }
}

fn good(answer: &FinalAnswer) -> bool {
    matches!(answer, FinalAnswer::Succeeded(reply) if &reply.body[..] == b"the good pack")
}

fn refused(answer: &FinalAnswer) -> Option<&'static str> {
    match answer {
        FinalAnswer::Unverified { failed_check, .. } => Some(failed_check),
        _ => None,
    }
}

#[rstest]
fn what_was_signed_passes() {
    let mut evening = Evening::usual(&["the good pack"]);
    assert!(good(&evening.asks()));
    assert!(evening.kept.is_some(), "what is trusted is to be kept");
}

#[rstest]
#[case::older("the old pack!", "target_hash")]
#[case::longer("the good pack, and more", "target_longer")]
#[case::shorter("the good", "target_shorter")]
fn a_pod_with_another_pack_gives_way_to_a_good_one(#[case] stale: &str, #[case] kind: &'static str) {
    let mut evening = Evening::usual(&[stale, "the good pack", "the good pack"]);
    for _ in 0..12 {
        assert!(good(&evening.asks()));
    }
    let mut evening = Evening::usual(&[stale, stale]);
    assert_eq!(refused(&evening.asks()), Some(kind));
}

#[rstest]
fn what_nobody_signed_is_refused_by_name() {
    let mut evening = Evening::usual(&["the good pack"]);
    evening.repo.repository.targets.targets.clear();
    let secret = SigningKey::from_seed([9; 32]);
    let written = evening.repo.repository.publish(&[&secret], now(evening.story.now)).unwrap();
    evening.repo.files.extend(written.into_iter().map(|w| (w.path, w.bytes)));
    evening.pass(Tenths::ms(90_000));
    assert_eq!(refused(&evening.asks()), Some("no_such_target"));
}

#[rstest]
#[case::refuse(Ended::Refuse, 0, false)]
#[case::go_on(Ended::GoOn(Tenths::ms(2 * HOUR * 1000)), 0, true)]
#[case::but_not_for_ever(Ended::GoOn(Tenths::ms(2 * HOUR * 1000)), 3 * HOUR, false)]
fn metadata_end_amid_the_evening(#[case] ended: Ended, #[case] later: i64, #[case] passes: bool) {
    let mut repo = Repo::new();
    repo.publish(b"the good pack", START_TIME - Tenths::ms(23 * HOUR * 1000 + 1_800_000));
    let mut evening = Evening::begins(&["the good pack"], ended, None, repo);
    assert!(good(&evening.asks()), "half an hour is left");
    evening.away = true;
    evening.pass(Tenths::ms((HOUR + later) * 1000));
    let answer = evening.asks();
    assert_eq!(good(&answer), passes, "{answer:?}");
    if !passes {
        assert_eq!(refused(&answer), Some("expired"));
    }
}

/// An hour without metadata costs few fetches, and what was trusted goes on.
#[rstest]
fn a_refresh_that_fails_for_an_hour_is_bounded() {
    let mut evening = Evening::usual(&["the good pack"]);
    evening.away = true;
    let before = evening.fetched;
    evening.pass(Tenths::ms(HOUR * 1000));
    let tries = evening.fetched - before;
    // A try a minute or somewhat sooner, for the next root and the timestamp, each at two pods.
    assert!((30..400).contains(&tries), "{tries}");
    assert!(good(&evening.asks()));
    evening.away = false;
    evening.repo.publish(b"the next pack", evening.story.now);
    evening.packs = vec![b"the next pack".to_vec()];
    evening.pass(Tenths::ms(120_000));
    assert!(matches!(evening.asks(), FinalAnswer::Succeeded(_)));
}

/// The pods go back to an older release, whose files are all well signed; also after a restart that remembers.
#[rstest]
#[case::running(false)]
#[case::restarted(true)]
fn a_rollback_is_not_taken(#[case] restarted: bool) {
    let mut repo = Repo::new();
    repo.publish(b"the old pack!", START_TIME);
    let old = repo.files.clone();
    repo.publish(b"the good pack", START_TIME);
    let mut evening = Evening::begins(&["the good pack"], Ended::Refuse, None, repo);
    assert!(good(&evening.asks()));
    let kept = evening.kept.clone();
    let mut repo = evening.repo;
    repo.files = old;
    let mut evening = if restarted {
        Evening::begins(&["the old pack!"], Ended::Refuse, kept, repo)
    } else {
        Evening { repo, packs: vec![b"the old pack!".to_vec()], ..evening }
    };
    evening.pass(Tenths::ms(120_000));
    assert_eq!(refused(&evening.asks()), Some("target_hash"));
}

/// Without any metadata nothing can be told from anything: the time limit ends it, and nothing passes.
#[rstest]
fn nothing_passes_before_there_is_metadata() {
    let mut repo = Repo::new();
    repo.publish(b"the good pack", START_TIME);
    let mut evening = Evening::begins(
        &["the good pack"],
        Ended::Refuse,
        None,
        Repo { files: [("1.root.json".to_string(), repo.files["1.root.json"].clone())].into(), ..repo },
    );
    assert!(!matches!(evening.asks(), FinalAnswer::Succeeded(_)));
}
