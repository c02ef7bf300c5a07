//! Short stories of three reducers with leadership, their datagrams carried by hand: who may vote, whose share
//! may grow, and what a cut changes. No sockets, no clock.

use rstest::rstest;
use stagepond::host::*;
use stagepond_leadership::seal::Key;
use stagepond_leadership::settings::Settings;

use crate::leading::{Leading, Note};
use crate::messages::*;
use crate::operators::{KeyRing, Leadership};
use crate::reducer_tests::{pod_entry, pod_list, test_facts, ReducerHarness, START_TIME};

const SIDECARS: usize = 3;
const STEP: Tenths = Tenths::ms(5);

fn asked() -> Leadership {
    let sealing = Key::new(1, &[7; 32]).unwrap();
    Leadership {
        bounds: Settings::default_for(SIDECARS as u16).validate().unwrap(),
        ring: KeyRing { sealing, also: Vec::new() },
        state: None,
        widen_by_decree: true,
        frozen: Vec::new(),
    }
}

struct Trio {
    stories: Vec<ReducerHarness>,
    /// Nothing goes to or comes from this one.
    cut: Option<usize>,
    now: Tenths,
    /// Who asked for a vote to be cast, and when its mandate ends.
    votes: Vec<(usize, Tenths, Verdict)>,
}

impl Trio {
    fn begins() -> Trio {
        let story = |me: usize| {
            let facts =
                Facts { own_peer: Peer(me), sidecar_count: SIDECARS, peer_messages: true, ..test_facts() };
            let leading = Leading::new(START_TIME + Tenths(me as i64), Peer(me), me as u64, &asked(), None);
            ReducerHarness::with_leadership(facts, vec![pod_entry(1, 1), pod_entry(2, 1)], Some(leading))
        };
        Trio { stories: (0..SIDECARS).map(story).collect(), cut: None, now: START_TIME, votes: Vec::new() }
    }

    fn effects(&mut self, of: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendDatagram { to: Some(Peer(to)), payload }
                    if self.cut != Some(of) && self.cut != Some(to) =>
                {
                    self.input(to, Input::PeerDatagram { from: Peer(of), payload });
                }
                Effect::CastVote { verdict: Some(verdict), lease: mandate, .. } => {
                    let mandate = mandate.expect("where one leads nobody votes without leave");
                    assert!(mandate.check(self.now).is_ok());
                    self.votes.push((of, mandate.expires_at(), verdict));
                }
                _ => {}
            }
        }
    }

    fn input(&mut self, of: usize, input: Input) {
        self.stories[of].now = self.now;
        let effects = self.stories[of].apply(input);
        self.effects(of, effects);
    }

    fn all(&mut self, input: &Input) {
        (0..SIDECARS).for_each(|of| self.input(of, input.clone()));
    }

    fn pass(&mut self, time: Tenths) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.all(&Input::Tick);
        }
    }

    fn leaders(&self) -> Vec<usize> {
        let leads = |of: &usize| {
            let leading = self.stories[*of].reducer.leadership().unwrap();
            leading.instance().lease(self.now).is_some()
        };
        (0..SIDECARS).filter(leads).collect()
    }

    /// A founded group with one leader, and build 2 on trial.
    fn led() -> (Trio, usize) {
        let mut trio = Trio::begins();
        trio.pass(Tenths::ms(4000));
        let leaders = trio.leaders();
        assert_eq!(leaders.len(), 1, "{leaders:?}");
        (trio, leaders[0])
    }

    fn trial(&mut self, stage: u32, cap: f64) {
        let standing = RolloutStatus { build: Build(2), stage, phase: Phase::Trial, cap, age: Tenths(0) };
        self.all(&Input::PodListReceived(pod_list(false, vec![pod_entry(3, 2)])));
        self.all(&Input::RolloutStatusReceived(standing));
    }

    fn share(&self, of: usize) -> f64 {
        self.stories[of].reducer.leadership().unwrap().share().unwrap().1
    }
}

#[rstest]
fn only_who_leads_votes_and_only_once() {
    let (mut trio, leader) = Trio::led();
    trio.trial(0, 0.1);
    trio.pass(Tenths::ms(12_000));
    assert!(!trio.votes.is_empty());
    assert!(trio.votes.iter().all(|(of, ..)| *of == leader), "{:?}", trio.votes);
}

#[rstest]
fn who_is_cut_off_stops_voting_with_its_lease_and_another_goes_on() {
    let (mut trio, leader) = Trio::led();
    trio.cut = Some(leader);
    trio.trial(0, 0.1);
    trio.pass(Tenths::ms(1600));
    assert!(!trio.leaders().contains(&leader));
    trio.votes.clear();
    trio.pass(Tenths::ms(14_000));
    let next = trio.leaders();
    assert_eq!(next.len(), 1);
    assert_ne!(next[0], leader);
    assert!(!trio.votes.is_empty() && trio.votes.iter().all(|(of, ..)| *of == next[0]), "{:?}", trio.votes);
}

#[rstest]
fn past_the_first_stage_a_share_grows_by_decree_only_and_shrinks_at_once() {
    let (mut trio, leader) = Trio::led();
    let follower = (leader + 1) % SIDECARS;
    trio.trial(0, 0.1);
    assert_eq!(trio.share(follower), 0.1, "the first stage is the platform's alone");
    trio.cut = Some(follower);
    trio.trial(1, 0.4);
    trio.pass(Tenths::ms(500));
    assert_eq!(trio.share(follower), 0.1, "it has not heard of the decree");
    assert_eq!(trio.share(leader), 0.4);
    trio.cut = None;
    trio.pass(Tenths::ms(1500));
    assert_eq!(trio.share(follower), 0.4);
    trio.cut = Some(follower);
    trio.trial(1, 0.05);
    assert_eq!(trio.share(follower), 0.05, "a lower cap waits for nobody");
}

#[rstest]
fn a_frozen_build_gets_no_more_and_no_vote_on() {
    let (mut trio, leader) = Trio::led();
    trio.trial(0, 0.1);
    let frozen = Leadership { frozen: vec![Build(2)], ..asked() };
    let places = ServiceAddresses { discovery: ([127, 0, 0, 1], 1).into(), platform: None };
    let reread = |leadership| {
        Input::ConfigRead(Ok(ReloadableConfig { addresses: places, leadership: Some(leadership) }))
    };
    trio.input(leader, reread(frozen));
    trio.pass(Tenths::ms(1500));
    trio.trial(1, 0.4);
    trio.pass(Tenths::ms(12_000));
    assert_eq!((0..SIDECARS).map(|of| trio.share(of)).collect::<Vec<_>>(), [0.1; 3]);
    assert!(trio.votes.iter().all(|(.., verdict)| *verdict != Verdict::On), "{:?}", trio.votes);
    trio.input(leader, reread(asked()));
    trio.pass(Tenths::ms(12_000));
    assert_eq!(trio.share(leader), 0.4);
    assert!(trio.votes.iter().any(|(.., verdict)| *verdict == Verdict::On));
}

/// With another key an instance is heard by nobody; the log must say why, and not for each datagram.
#[rstest]
fn what_another_key_sealed_is_dropped_and_told_now_and_then() {
    let (mut trio, leader) = Trio::led();
    let other = Key::new(9, &[9; 32]).unwrap();
    let mut stranger = stagepond_leadership::seal::Sealer::new(
        stagepond_leadership::ids::Seat(((leader + 1) % SIDECARS) as u16),
        stagepond_leadership::ids::Life(5),
        SIDECARS as u16,
        stagepond_leadership::seal::KeySet::new(other),
    );
    let to = stagepond_leadership::ids::Seat(leader as u16);
    let mut told = 0;
    for _ in 0..100 {
        let words = stranger.seal(to, b"x");
        trio.stories[leader].now = trio.now;
        let effects = trio.stories[leader].apply(Input::PeerDatagram { from: Peer(0), payload: words });
        told += effects
            .iter()
            .filter(|e| matches!(e, Effect::LogLeadershipEvent(Note::Dropped { counts }) if counts.contains("UnknownKey")))
            .count();
    }
    assert_eq!(told, 1);
}

#[rstest]
fn a_planned_end_hands_the_lead_on() {
    let (mut trio, leader) = Trio::led();
    trio.input(leader, Input::ShutdownRequested);
    trio.pass(Tenths::ms(700));
    let next = trio.leaders();
    assert!(next.len() == 1 && next[0] != leader, "{next:?}: sooner than any lease would end");
}
