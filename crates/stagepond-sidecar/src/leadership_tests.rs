//! Tests of three reducers with leadership that exchange datagrams in memory: which one votes, when a trial's
//! share grows, and what a network partition changes. No sockets, and time is simulated.

use rstest::rstest;
use stagepond::host::*;
use stagepond_leadership::ids::{Life, Seat};
use stagepond_leadership::raft::PersistentState;
use stagepond_leadership::seal::{Key, KeySet, Sealer};
use stagepond_leadership::settings::Settings;

use crate::leadership::{LeadershipController, LeadershipEvent};
use crate::messages::*;
use crate::operators::{KeyRing, LeadershipConfig};
use crate::reducer_tests::{pod_entry, pod_list, test_facts, ReducerHarness, START_TIME};

const SIDECARS: usize = 3;
const TICK_INTERVAL: Tenths = Tenths::ms(5);

fn leadership_config() -> LeadershipConfig {
    config_for(SIDECARS, false)
}

/// The configuration of a group of this many sidecars, with or without state files.
fn config_for(sidecars: usize, durable: bool) -> LeadershipConfig {
    let sealing_key = Key::new(1, &[7; 32]).unwrap();
    let settings = Settings { durable, ..Settings::default_for(sidecars as u16) };
    LeadershipConfig {
        settings: settings.validate().unwrap(),
        key_ring: KeyRing { sealing_key, accepted_keys: Vec::new() },
        state_file: None,
        widen_by_decree: true,
        frozen_builds: Vec::new(),
    }
}

/// A vote that was cast: the sidecar, the expiry of its lease and the verdict.
type CastVote = (usize, Tenths, Verdict);

fn start_reducer(
    now: Tenths, index: usize, config: &LeadershipConfig, stored: Option<PersistentState>,
) -> ReducerHarness {
    let facts = Facts { own_peer: Peer(index), sidecar_count: SIDECARS, peer_messages: true, ..test_facts() };
    let leadership = LeadershipController::new(now, Peer(index), index as u64, config, stored);
    ReducerHarness::with_leadership(facts, vec![pod_entry(1, 1), pod_entry(2, 1)], Some(leadership))
}

/// Three reducers, their state files and the network between them.
struct Cluster {
    config: LeadershipConfig,
    reducers: Vec<ReducerHarness>,
    /// The content of each sidecar's state file, if it has one.
    state_files: Vec<Option<Vec<u8>>>,
    /// The sidecar that no datagram reaches or leaves.
    partitioned: Option<usize>,
    now: Tenths,
    votes: Vec<CastVote>,
}

impl Cluster {
    fn start(config: LeadershipConfig) -> Cluster {
        let start = |index: usize| START_TIME + Tenths(index as i64);
        let reducers = (0..SIDECARS).map(|index| start_reducer(start(index), index, &config, None)).collect();
        let state_files = vec![None; SIDECARS];
        Cluster { config, reducers, state_files, partitioned: None, now: START_TIME, votes: Vec::new() }
    }

    /// A cluster that has elected a leader, and the leader's index.
    fn with_leader() -> (Cluster, usize) {
        Cluster::with_leader_and(leadership_config())
    }

    fn with_leader_and(config: LeadershipConfig) -> (Cluster, usize) {
        let mut cluster = Cluster::start(config);
        cluster.advance(Tenths::ms(4000));
        let leaders = cluster.leaders();
        assert_eq!(leaders.len(), 1, "{leaders:?}");
        (cluster, leaders[0])
    }

    /// Delivers datagrams at once and records votes, each of which needs a valid lease.
    fn handle_effects(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendDatagram { to: Some(Peer(to)), payload }
                    if self.partitioned != Some(from) && self.partitioned != Some(to) =>
                {
                    self.apply(to, Input::PeerDatagram { from: Peer(from), payload });
                }
                Effect::PersistRaftState { number, state } => {
                    self.state_files[from] = Some(state);
                    self.apply(from, Input::RaftStatePersisted(number));
                }
                Effect::CastVote { verdict: Some(verdict), lease, .. } => {
                    let lease = lease.expect("with leadership on, a vote needs a lease");
                    assert!(lease.check(self.now).is_ok());
                    self.votes.push((from, lease.expires_at(), verdict));
                }
                _ => {}
            }
        }
    }

    fn apply(&mut self, sidecar: usize, input: Input) {
        self.reducers[sidecar].now = self.now;
        let effects = self.reducers[sidecar].apply(input);
        self.handle_effects(sidecar, effects);
    }

    fn apply_to_all(&mut self, input: &Input) {
        (0..SIDECARS).for_each(|sidecar| self.apply(sidecar, input.clone()));
    }

    /// Kills a sidecar and starts it again with what its state file has.
    fn restart(&mut self, sidecar: usize) {
        let decode = |bytes: &Vec<u8>| PersistentState::decode(bytes, Seat(sidecar as u16)).unwrap();
        let stored = self.state_files[sidecar].as_ref().map(decode);
        self.reducers[sidecar] = start_reducer(self.now, sidecar, &self.config, stored);
    }

    fn advance(&mut self, time: Tenths) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.apply_to_all(&Input::Tick);
        }
    }

    fn leaders(&self) -> Vec<usize> {
        let is_leader = |sidecar: &usize| {
            let leadership = self.reducers[*sidecar].reducer.leadership().unwrap();
            leadership.instance().lease(self.now).is_some()
        };
        (0..SIDECARS).filter(is_leader).collect()
    }

    /// Puts build 2 on trial at this stage, with this cap from the platform.
    fn set_trial(&mut self, stage: u32, cap: f64) {
        (0..SIDECARS).for_each(|sidecar| self.report_trial(sidecar, stage, cap));
    }

    /// Tells one sidecar what [`Cluster::set_trial`] tells all.
    fn report_trial(&mut self, sidecar: usize, stage: u32, cap: f64) {
        let status = RolloutStatus { build: Build(2), stage, phase: Phase::Trial, cap, age: Tenths(0) };
        self.apply(sidecar, Input::PodListReceived(pod_list(false, vec![pod_entry(3, 2)])));
        self.apply(sidecar, Input::RolloutStatusReceived(status));
    }

    fn share(&self, sidecar: usize) -> f64 {
        self.reducers[sidecar].reducer.leadership().unwrap().effective_share().unwrap().1
    }

    fn all_votes_are_from(&self, sidecar: usize) -> bool {
        self.votes.iter().all(|(from, ..)| *from == sidecar)
    }
}

#[rstest]
fn only_the_leader_votes() {
    let (mut cluster, leader) = Cluster::with_leader();
    cluster.set_trial(0, 0.1);
    cluster.advance(Tenths::ms(12_000));
    assert!(!cluster.votes.is_empty());
    assert!(cluster.all_votes_are_from(leader), "{:?}", cluster.votes);
}

#[rstest]
fn a_partitioned_leader_stops_voting_with_its_lease_and_a_new_leader_takes_over() {
    let (mut cluster, leader) = Cluster::with_leader();
    cluster.partitioned = Some(leader);
    cluster.set_trial(0, 0.1);
    cluster.advance(Tenths::ms(1600));
    assert!(!cluster.leaders().contains(&leader));
    cluster.votes.clear();
    cluster.advance(Tenths::ms(14_000));
    let leaders = cluster.leaders();
    assert_eq!(leaders.len(), 1);
    assert_ne!(leaders[0], leader);
    assert!(!cluster.votes.is_empty() && cluster.all_votes_are_from(leaders[0]), "{:?}", cluster.votes);
}

#[rstest]
fn past_the_first_stage_a_share_grows_only_by_a_committed_command_and_shrinks_at_once() {
    let (mut cluster, leader) = Cluster::with_leader();
    let follower = (leader + 1) % SIDECARS;
    cluster.set_trial(0, 0.1);
    assert_eq!(cluster.share(follower), 0.1, "the first stage needs no command");
    cluster.partitioned = Some(follower);
    cluster.set_trial(1, 0.4);
    cluster.advance(Tenths::ms(500));
    assert_eq!(cluster.share(follower), 0.1, "the command has not reached the follower");
    assert_eq!(cluster.share(leader), 0.4);
    cluster.partitioned = None;
    cluster.advance(Tenths::ms(1500));
    assert_eq!(cluster.share(follower), 0.4);
    cluster.partitioned = Some(follower);
    cluster.set_trial(1, 0.05);
    assert_eq!(cluster.share(follower), 0.05, "a lower cap applies without a command");
}

#[rstest]
fn a_frozen_build_gets_no_larger_share_and_no_approval_until_the_freeze_ends() {
    let (mut cluster, leader) = Cluster::with_leader();
    cluster.set_trial(0, 0.1);
    let frozen = LeadershipConfig { frozen_builds: vec![Build(2)], ..leadership_config() };
    let addresses = ServiceAddresses { discovery: ([127, 0, 0, 1], 1).into(), platform: None };
    let reload =
        |leadership| Input::ConfigRead(Ok(ReloadableConfig { addresses, leadership: Some(leadership) }));
    cluster.apply(leader, reload(frozen));
    cluster.advance(Tenths::ms(1500));
    cluster.set_trial(1, 0.4);
    cluster.advance(Tenths::ms(12_000));
    assert_eq!((0..SIDECARS).map(|sidecar| cluster.share(sidecar)).collect::<Vec<_>>(), [0.1; 3]);
    assert!(cluster.votes.iter().all(|(.., verdict)| *verdict != Verdict::On), "{:?}", cluster.votes);
    cluster.apply(leader, reload(leadership_config()));
    cluster.advance(Tenths::ms(12_000));
    assert_eq!(cluster.share(leader), 0.4);
    assert!(cluster.votes.iter().any(|(.., verdict)| *verdict == Verdict::On));
}

/// Datagrams of an instance with another key are dropped by all others. The log has to say why, but not once per datagram.
#[rstest]
fn datagrams_sealed_with_an_unknown_key_are_dropped_and_reported_once_per_interval() {
    let (mut cluster, leader) = Cluster::with_leader();
    let sender = Seat(((leader + 1) % SIDECARS) as u16);
    let unknown_key = Key::new(9, &[9; 32]).unwrap();
    let mut sealer = Sealer::new(sender, Life(5), SIDECARS as u16, KeySet::new(unknown_key));
    let receiver = Seat(leader as u16);
    let mut reports = 0;
    for _ in 0..100 {
        let payload = sealer.seal(receiver, b"x");
        cluster.reducers[leader].now = cluster.now;
        let effects = cluster.reducers[leader].apply(Input::PeerDatagram { from: Peer(0), payload });
        reports += effects
            .iter()
            .filter(|effect| {
                matches!(effect, Effect::LogLeadershipEvent(LeadershipEvent::DatagramsDropped { counts })
                    if counts.contains("UnknownKey"))
            })
            .count();
    }
    assert_eq!(reports, 1);
}

#[rstest]
fn a_planned_shutdown_hands_over_leadership() {
    let (mut cluster, leader) = Cluster::with_leader();
    cluster.apply(leader, Input::ShutdownRequested);
    cluster.advance(Tenths::ms(700));
    let leaders = cluster.leaders();
    assert!(
        leaders.len() == 1 && leaders[0] != leader,
        "{leaders:?}: expected a new leader before the lease would have expired"
    );
}

fn frozen_build_2(config: LeadershipConfig) -> LeadershipConfig {
    LeadershipConfig { frozen_builds: vec![Build(2)], ..config }
}

/// Guards against review/7: after restarts with state files, a committed freeze was forgotten and the frozen
/// build was approved.
#[rstest]
fn a_freeze_outlives_the_restart_of_every_sidecar_from_its_state_file() {
    let config = frozen_build_2(config_for(SIDECARS, true));
    let (mut cluster, _) = Cluster::with_leader_and(config);
    cluster.set_trial(0, 0.1);
    for sidecar in 0..SIDECARS {
        cluster.advance(Tenths::ms(6000));
        cluster.restart(sidecar);
        cluster.report_trial(sidecar, 0, 0.1);
    }
    cluster.advance(Tenths::ms(12_000));
    assert_eq!(cluster.leaders().len(), 1);
    assert!(cluster.votes.iter().all(|(.., verdict)| *verdict != Verdict::On), "{:?}", cluster.votes);
}

/// Guards against the same cause for shares: after a restart from its state file a sidecar used none of the
/// share that a committed command allows.
#[rstest]
fn a_committed_share_outlives_a_restart_from_the_state_file() {
    let (mut cluster, leader) = Cluster::with_leader_and(config_for(SIDECARS, true));
    let follower = (leader + 1) % SIDECARS;
    cluster.set_trial(1, 0.4);
    cluster.advance(Tenths::ms(1500));
    assert_eq!(cluster.share(follower), 0.4);
    cluster.partitioned = Some(follower);
    cluster.restart(follower);
    cluster.report_trial(follower, 1, 0.4);
    assert_eq!(cluster.share(follower), 0.4);
}

/// Guards against growth during a freeze: a restarted sidecar took the platform's present cap for the share
/// at which the trial is held.
#[rstest]
#[case::with_a_state_file(true)]
#[case::without(false)]
fn a_frozen_trial_does_not_grow_by_a_restart(#[case] durable: bool) {
    let (mut cluster, leader) = Cluster::with_leader_and(LeadershipConfig {
        widen_by_decree: false,
        ..config_for(SIDECARS, durable)
    });
    cluster.set_trial(0, 0.1);
    let addresses = ServiceAddresses { discovery: ([127, 0, 0, 1], 1).into(), platform: None };
    let leadership = Some(frozen_build_2(cluster.config.clone()));
    cluster.apply(leader, Input::ConfigRead(Ok(ReloadableConfig { addresses, leadership })));
    cluster.advance(Tenths::ms(1500));
    cluster.set_trial(1, 0.4);
    let follower = (leader + 1) % SIDECARS;
    cluster.restart(follower);
    cluster.report_trial(follower, 1, 0.4);
    cluster.advance(Tenths::ms(3000));
    cluster.report_trial(follower, 1, 0.4);
    assert_eq!(cluster.share(follower), 0.1);
}

/// A freeze that the log of an earlier build has, without the share: the platform's first word tells it.
#[rstest]
fn a_frozen_trial_without_a_committed_share_is_held_at_the_first_share_after_a_restart() {
    let config = frozen_build_2(config_for(SIDECARS, true));
    let (mut cluster, leader) =
        Cluster::with_leader_and(LeadershipConfig { widen_by_decree: false, ..config });
    let follower = (leader + 1) % SIDECARS;
    cluster.partitioned = Some(follower);
    cluster.restart(follower);
    for (cap, expected) in [(0.4, 0.4), (1.0, 0.4), (0.1, 0.1)] {
        cluster.report_trial(follower, 1, cap);
        assert_eq!(cluster.share(follower), expected);
    }
}

/// Guards against an approval that is committed right behind the freeze, by a leader whose freeze still waited
/// for its quorum when it proposed both.
#[rstest]
fn a_leader_approves_no_build_while_its_freeze_waits_to_be_committed() {
    let config = config_for(1, true);
    let mut leadership = LeadershipController::new(START_TIME, Peer(0), 1, &config, None);
    let mut now = START_TIME;
    let mut effects = Vec::new();
    while leadership.instance().lease(now).is_none() {
        now = now + TICK_INTERVAL;
        assert!(now < START_TIME + Tenths::ms(20_000), "no leader");
        effects.extend(leadership.tick(now).effects);
        effects = confirm_write(&mut leadership, now, &effects);
    }
    while requested_write(&effects).is_some() {
        effects = confirm_write(&mut leadership, now, &effects);
    }
    effects = leadership.reload_config(now, &frozen_build_2(config)).effects;
    effects.extend(leadership.propose_vote(now, Build(2), 0, Some(Verdict::On)).effects);
    while requested_write(&effects).is_some() {
        effects = confirm_write(&mut leadership, now, &effects);
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::CastVote { .. })), "{effects:?}");
    }
    assert_eq!(leadership.instance().raft().log().uncommitted_len(), 0);
}

/// The write that these effects ask for.
fn requested_write(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::PersistRaftState { number, .. } => Some(*number),
        _ => None,
    })
}

/// Confirms the requested write, if there is one. Returns the effects of that.
fn confirm_write(leadership: &mut LeadershipController, now: Tenths, effects: &[Effect]) -> Vec<Effect> {
    let number = requested_write(effects);
    number.map(|number| leadership.on_state_persisted(now, number).effects).unwrap_or_default()
}
