//! Leadership inside the reducer: passes inputs to the leadership protocol (`stagepond-leadership`) and turns
//! its output into effects. Holds the protocol instance, the committed commands that affect trials and the
//! last rollout status from the platform. Does no I/O. A vote is cast only under a leader lease, and with
//! `widen_by_decree` a trial's share grows past its first stage only by a committed command.

use std::collections::BTreeSet;

use stagepond::host::*;
use stagepond_leadership::ids::{Life, Number, Seat, Term};
use stagepond_leadership::instance::{
    Effect as InstanceEffect, Input as InstanceInput, Instance, InstanceConfig,
};
use stagepond_leadership::lease::LeaderLease;
use stagepond_leadership::log::{Command, Entry, VoteChoice};
use stagepond_leadership::planted::Planted;
use stagepond_leadership::raft::PersistentState;
use stagepond_leadership::seal::FORMAT_BYTE;
use stagepond_leadership::wire::Health;

use crate::messages::{Effect, RolloutStatus};
use crate::operators::{KeyRing, LeadershipConfig};
use crate::trial_limits::{share_in_millionths, TrialLimits};

/// A leadership event to be logged. Each variant has its own `event` value in the log, and its fields have
/// the names of the log's keys. `why` is a reason as text, `decree` a command of the replicated log in its
/// `Debug` form, and `holder` the seat of the leader that proposed the command.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipEvent {
    /// This sidecar became the leader and may act until `until` without renewing its lease.
    BecameLeader { term: Term, until: Tenths },
    /// This sidecar stopped leading `term`.
    SteppedDown { term: Term, why: &'static str },
    /// A command was committed.
    CommandCommitted { term: Term, number: Number, holder: Seat, decree: String },
    /// A snapshot from another instance, up to entry `number`, replaced the local log.
    SnapshotInstalled { number: Number },
    /// The limits on trials were read from the committed log as a whole, at the start or after a snapshot.
    /// `frozen` are the builds that its commands freeze, `held` those whose share is held here.
    TrialLimitsRead { number: Number, frozen: Vec<Build>, held: Vec<Build> },
    /// An approval was not proposed because its build is frozen.
    ApprovalHeldBack { build: Build, stage: u32 },
    /// The whole pool agreed on a new group of voters, which begins an era: at the first start, or because no
    /// quorum that remembers the earlier voters was left.
    Bootstrapped { term: Term },
    /// A command proposed by this sidecar was rejected.
    CommandRejected { decree: String, why: String },
    /// The failure detector changed its view of a member.
    MemberHealthChanged { seat: Seat, health: Health },
    /// Datagrams were dropped. `counts` has the numbers since the start: `reason=count` pairs separated by
    /// spaces.
    DatagramsDropped { counts: String },
}

/// The reducer's view of leadership: the protocol instance and the limits its committed commands set on
/// trials.
pub struct LeadershipController {
    instance: Instance,
    /// Whether a trial's share may grow past its first stage only by a committed command.
    widen_by_decree: bool,
    limits: TrialLimits,
    /// The last rollout status from the platform and when it arrived.
    last_status: Option<(RolloutStatus, Tenths)>,
    /// Builds that the operators' file wants frozen.
    requested_freezes: BTreeSet<Build>,
    is_leader: bool,
    voters: Vec<Peer>,
    /// Number of dropped datagrams last reported.
    reported_drops: u64,
    /// Earliest time of the next report of dropped datagrams.
    next_drop_report: Tenths,
    /// The approval that was last reported as held back.
    reported_approval: Option<(Build, u32)>,
}

/// What the reducer has to do after a step.
#[derive(Default)]
pub struct StepOutcome {
    /// Effects to be performed, in order.
    pub effects: Vec<Effect>,
    /// The voters and whether this sidecar leads, if either changed; the decision module must be notified.
    pub leadership_change: Option<(Vec<Peer>, bool)>,
    /// The allowed share may have changed: the decision module must be given the current rollout status
    /// again.
    pub share_changed: bool,
}

/// Dropped datagrams are reported at most once per interval, so that their sender can't flood the log.
const DROP_REPORT_INTERVAL: Tenths = Tenths::ms(1000);

/// Whether a datagram belongs to the leadership protocol, by its first byte. The decision module's messages
/// never begin with that byte.
pub fn is_leadership_datagram(bytes: &[u8]) -> bool {
    bytes.first() == Some(&FORMAT_BYTE)
}

impl LeadershipController {
    /// Creates the controller for peer `own_peer`. `persisted` is the state stored by an earlier process at
    /// this seat, if there is any. The start time serves as the [`Life`], which must be higher than that of
    /// any earlier process at this seat.
    pub fn new(
        now: Tenths, own_peer: Peer, seed: u64, config: &LeadershipConfig, persisted: Option<PersistentState>,
    ) -> LeadershipController {
        let instance = Instance::new(InstanceConfig {
            now,
            seat: Seat(own_peer.0 as u16),
            life: Life(now.0 as u64),
            seed,
            settings: config.settings.clone(),
            keys: config.key_ring.keys_at(now),
            persisted,
            planted: Planted::default(),
        });
        LeadershipController {
            widen_by_decree: config.widen_by_decree,
            limits: TrialLimits::new(config.widen_by_decree, instance.raft().log().committed()),
            instance,
            last_status: None,
            requested_freezes: config.frozen_builds.iter().copied().collect(),
            is_leader: false,
            voters: Vec::new(),
            reported_drops: 0,
            next_drop_report: now,
            reported_approval: None,
        }
    }

    /// Reports the limits on trials that an earlier process left behind, if any. To be called once, before any
    /// input.
    pub fn start(&mut self) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        if self.instance.raft().log().commit_number() > Number(0) {
            outcome.effects.push(self.report_trial_limits());
        }
        outcome
    }

    fn report_trial_limits(&self) -> Effect {
        Effect::LogLeadershipEvent(LeadershipEvent::TrialLimitsRead {
            number: self.instance.raft().log().commit_number(),
            frozen: self.committed_freezes().into_iter().collect(),
            held: self.limits.frozen_builds().collect(),
        })
    }

    /// The builds that committed commands freeze.
    fn committed_freezes(&self) -> BTreeSet<Build> {
        let committed = &self.instance.raft().log().committed().subjects;
        let frozen_build = |entry: &Entry| match entry.command {
            Command::Freeze { build, frozen: true } => Some(Build(build)),
            _ => None,
        };
        committed.values().filter_map(frozen_build).collect()
    }

    /// Time by which `tick` must be called.
    pub fn next_due(&self) -> Tenths {
        self.instance.next_due()
    }

    /// The build on trial and its share (0 to 1) as last passed to the decision module.
    pub fn effective_share(&self) -> Option<(Build, f64)> {
        self.limits.applied_share()
    }

    /// The protocol instance, for inspection.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Handles a datagram of the leadership protocol. Reports dropped datagrams at most once per
    /// `DROP_REPORT_INTERVAL`.
    pub fn on_datagram(&mut self, now: Tenths, bytes: &[u8]) -> StepOutcome {
        let mut outcome = self.step(now, InstanceInput::Datagram(bytes));
        if now >= self.next_drop_report {
            let dropped = self.instance.status().dropped;
            let total: u64 = dropped.values().sum();
            if total > self.reported_drops {
                self.reported_drops = total;
                self.next_drop_report = now + DROP_REPORT_INTERVAL;
                let counts: Vec<String> = dropped
                    .iter()
                    .filter(|(_, count)| **count > 0)
                    .map(|(reason, count)| format!("{reason:?}={count}"))
                    .collect();
                let event = LeadershipEvent::DatagramsDropped { counts: counts.join(" ") };
                outcome.effects.push(Effect::LogLeadershipEvent(event));
            }
        }
        outcome
    }

    /// Runs the protocol's timers that are due.
    pub fn tick(&mut self, now: Tenths) -> StepOutcome {
        if now >= self.next_due() {
            return self.step(now, InstanceInput::Tick);
        }
        StepOutcome::default()
    }

    /// Handles the report that the state with this sequence number is on stable storage.
    pub fn on_state_persisted(&mut self, now: Tenths, number: u64) -> StepOutcome {
        self.step(now, InstanceInput::Persisted(number))
    }

    /// Announces a planned shutdown; a leader hands over its role.
    pub fn leave(&mut self, now: Tenths) -> StepOutcome {
        self.step(now, InstanceInput::Leave)
    }

    /// Installs the keys of a reloaded file. During a key change some instances have the new key already and
    /// others still the old one, so both are accepted for the time that the file gives.
    fn install_keys(&mut self, now: Tenths, key_ring: &KeyRing) -> StepOutcome {
        let mut effects = Vec::new();
        for (key, accepted_for) in &key_ring.accepted_keys {
            let input = InstanceInput::AcceptKey { key: key.clone(), until: now + *accepted_for };
            effects.extend(self.step(now, input).effects);
        }
        let longest = key_ring.accepted_keys.iter().map(|(_, accepted_for)| *accepted_for).max();
        let old_until = now + longest.unwrap_or(Tenths(0));
        let input = InstanceInput::NewKey { key: key_ring.sealing_key.clone(), old_until };
        let last = self.step(now, input);
        effects.extend(last.effects);
        StepOutcome { effects, ..last }
    }

    /// Applies the keys and frozen builds of a reloaded operators' file.
    pub fn reload_config(&mut self, now: Tenths, config: &LeadershipConfig) -> StepOutcome {
        self.requested_freezes = config.frozen_builds.iter().copied().collect();
        let mut outcome = self.install_keys(now, &config.key_ring);
        let freezes = self.propose_freezes(now);
        outcome.effects.extend(freezes.effects);
        StepOutcome {
            effects: outcome.effects,
            leadership_change: freezes.leadership_change.or(outcome.leadership_change),
            share_changed: outcome.share_changed || freezes.share_changed,
        }
    }

    /// On the leader, proposes the commands that bring the frozen builds in line with its operators' file.
    fn propose_freezes(&mut self, now: Tenths) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        if !self.is_leader {
            return outcome;
        }
        let frozen = self.committed_freezes();
        let changes: Vec<(Build, bool)> = self
            .requested_freezes
            .difference(&frozen)
            .map(|build| (*build, true))
            .chain(frozen.difference(&self.requested_freezes).map(|build| (*build, false)))
            .collect();
        for (build, frozen) in changes {
            let share = if frozen { self.share_command(build) } else { None };
            let freeze = Command::Freeze { build: build.0, frozen };
            for command in share.into_iter().chain([freeze]) {
                let step = self.step(now, InstanceInput::Command(command));
                outcome.effects.extend(step.effects);
                outcome.share_changed |= step.share_changed;
                outcome.leadership_change = step.leadership_change.or(outcome.leadership_change);
            }
        }
        outcome
    }

    /// The command that names the share in use of a build that is about to be frozen, so that it outlives a
    /// restart. `None` unless the build is on trial.
    fn share_command(&self, build: Build) -> Option<Command> {
        let (status, _) = self.last_status?;
        let is_on_trial = status.build == build && status.phase == Phase::Trial;
        let (_, share) =
            self.limits.applied_share().filter(|(applied, _)| is_on_trial && *applied == build)?;
        Some(Command::Widen { build: build.0, stage: status.stage, share: share_in_millionths(share) })
    }

    /// Proposes the decision module's vote as a command; the vote is cast once that is committed. Only the
    /// leader's proposals are accepted. An approval (`Verdict::On`) of a frozen build is not proposed.
    pub fn propose_vote(
        &mut self, now: Tenths, build: Build, stage: u32, verdict: Option<Verdict>,
    ) -> StepOutcome {
        let voice = match verdict {
            Some(Verdict::On) if self.is_frozen(build) => {
                let effects = self.hold_back_approval(build, stage).into_iter().collect();
                return StepOutcome { effects, ..StepOutcome::default() };
            }
            Some(Verdict::On) => VoteChoice::On,
            Some(Verdict::Hold) => VoteChoice::Hold,
            Some(Verdict::Back) => VoteChoice::Back,
            None => VoteChoice::Withdrawn,
        };
        self.step(now, InstanceInput::Command(Command::Vote { build: build.0, stage, voice }))
    }

    /// Whether a committed command freezes the build or, on the leader, its operators' file asks for that: the
    /// command may still wait for its quorum.
    fn is_frozen(&self, build: Build) -> bool {
        self.limits.is_frozen(build) || (self.is_leader && self.requested_freezes.contains(&build))
    }

    /// The report of an approval that is not cast, once until another one is held back.
    fn hold_back_approval(&mut self, build: Build, stage: u32) -> Option<Effect> {
        let is_reported = self.reported_approval.replace((build, stage)) == Some((build, stage));
        let event = LeadershipEvent::ApprovalHeldBack { build, stage };
        (!is_reported).then_some(Effect::LogLeadershipEvent(event))
    }

    /// Takes the rollout status that the configuration had at the start and returns it with its cap limited to
    /// the share that may be used here. It may be older than the share that an earlier process used.
    pub fn on_configured_status(&mut self, now: Tenths, status: RolloutStatus) -> RolloutStatus {
        self.last_status = Some((status, now));
        self.limits.limit(status)
    }

    /// Takes a rollout status from the platform and returns it with its cap limited to the share that may be
    /// used here. A status of an older build than the last one is limited but not remembered.
    pub fn on_rollout_status(&mut self, now: Tenths, status: RolloutStatus) -> (RolloutStatus, StepOutcome) {
        self.limits.on_platform_status(status);
        let is_current = self.last_status.is_none_or(|(last, _)| status.build >= last.build);
        if is_current {
            self.last_status = Some((status, now));
        }
        let outcome = if is_current { self.propose_widening(now) } else { StepOutcome::default() };
        (self.limits.limit(status), outcome)
    }

    /// The last rollout status with its age as of `now` and its cap limited to the share that may be used.
    pub fn current_status(&mut self, now: Tenths) -> Option<RolloutStatus> {
        let (status, received_at) = self.last_status?;
        let age = status.age + (now - received_at);
        Some(self.limits.limit(RolloutStatus { age, ..status }))
    }

    /// On the leader, proposes a wider share if the platform's cap has grown past the committed share.
    fn propose_widening(&mut self, now: Tenths) -> StepOutcome {
        let Some((status, _)) = self.last_status.filter(|_| self.widen_by_decree && self.is_leader) else {
            return StepOutcome::default();
        };
        let share = share_in_millionths(status.cap);
        let is_wider = status.stage > 0 && !self.limits.is_share_committed(status.build, share);
        if status.phase != Phase::Trial || !is_wider || self.is_frozen(status.build) {
            return StepOutcome::default();
        }
        let command = Command::Widen { build: status.build.0, stage: status.stage, share };
        self.step(now, InstanceInput::Command(command))
    }

    /// Runs one step of the protocol and translates its effects for the reducer.
    fn step(&mut self, now: Tenths, input: InstanceInput) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        let mut propose_again = false;
        for effect in self.instance.step(now, input) {
            match effect {
                InstanceEffect::Send { to, bytes } => {
                    let to = Some(Peer(usize::from(to.0)));
                    outcome.effects.push(Effect::SendDatagram { to, payload: bytes });
                }
                InstanceEffect::Persist { version: number, state } => {
                    outcome.effects.push(Effect::PersistRaftState { number, state });
                }
                InstanceEffect::BecameLeader(lease) => {
                    propose_again = true;
                    let (term, until) = (lease.term(), lease.expires_at());
                    outcome
                        .effects
                        .push(Effect::LogLeadershipEvent(LeadershipEvent::BecameLeader { term, until }));
                }
                InstanceEffect::SteppedDown { term, reason: why } => {
                    outcome
                        .effects
                        .push(Effect::LogLeadershipEvent(LeadershipEvent::SteppedDown { term, why }));
                }
                InstanceEffect::Committed { entry, lease } => {
                    let vote = self.vote_effect(&entry.command, lease);
                    let (term, number, holder) = (entry.term, entry.number, entry.leader);
                    outcome.share_changed |= self.limits.apply(&entry.command);
                    // Widening that the freeze held back is proposed again.
                    propose_again |= matches!(entry.command, Command::Freeze { frozen: false, .. });
                    let decree = format!("{:?}", entry.command);
                    let event = LeadershipEvent::CommandCommitted { term, number, holder, decree };
                    outcome.effects.push(Effect::LogLeadershipEvent(event));
                    outcome.effects.extend(vote);
                }
                InstanceEffect::SnapshotInstalled { number } => {
                    outcome.share_changed = true;
                    outcome
                        .effects
                        .push(Effect::LogLeadershipEvent(LeadershipEvent::SnapshotInstalled { number }));
                    self.limits.read(self.instance.raft().log().committed());
                    outcome.effects.push(self.report_trial_limits());
                }
                InstanceEffect::Bootstrapped { era } => {
                    let term = Term::first_of_era(era);
                    outcome.effects.push(Effect::LogLeadershipEvent(LeadershipEvent::Bootstrapped { term }));
                }
                InstanceEffect::Rejected { command, reason } => {
                    let (decree, why) = (format!("{command:?}"), reason.to_string());
                    outcome
                        .effects
                        .push(Effect::LogLeadershipEvent(LeadershipEvent::CommandRejected { decree, why }));
                }
                InstanceEffect::MemberChanged { seat, health } => {
                    outcome.effects.push(Effect::LogLeadershipEvent(LeadershipEvent::MemberHealthChanged {
                        seat,
                        health,
                    }));
                }
            }
        }
        outcome.leadership_change = self.update_leadership(now);
        if propose_again {
            for proposal in [self.propose_freezes(now), self.propose_widening(now)] {
                outcome.effects.extend(proposal.effects);
                outcome.share_changed |= proposal.share_changed;
            }
        }
        outcome
    }

    /// The voters and whether this sidecar leads, if either has changed since the last call.
    fn update_leadership(&mut self, now: Tenths) -> Option<(Vec<Peer>, bool)> {
        let is_leader = self.instance.lease(now).is_some();
        let voters = self.instance.raft().voters();
        let mut voters: Vec<Peer> = voters.iter().map(|voter| Peer(usize::from(voter.seat.0))).collect();
        voters.dedup();
        if (is_leader, &voters) == (self.is_leader, &self.voters) {
            return None;
        }
        (self.is_leader, self.voters) = (is_leader, voters.clone());
        Some((voters, is_leader))
    }

    /// The effect that casts a committed vote. Only the leader gets a lease with a committed command, so only
    /// the leader casts the vote. An approval whose build has been frozen since it was proposed is held back.
    fn vote_effect(&mut self, command: &Command, lease: Option<LeaderLease>) -> Option<Effect> {
        let (&Command::Vote { build, stage, voice }, Some(lease)) = (command, lease) else { return None };
        let build = Build(build);
        let verdict = match voice {
            VoteChoice::On if self.is_frozen(build) => return self.hold_back_approval(build, stage),
            VoteChoice::On => Some(Verdict::On),
            VoteChoice::Hold => Some(Verdict::Hold),
            VoteChoice::Back => Some(Verdict::Back),
            VoteChoice::Withdrawn => None,
        };
        Some(Effect::CastVote { build, stage, verdict, lease: Some(lease) })
    }
}
