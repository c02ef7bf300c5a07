//! Limits that committed commands set on trials: the share that a trial may have grown to, and the builds that
//! are frozen. They are read from the replicated log as a whole at the start and after a snapshot, and follow
//! each command that is committed after that.

use std::collections::BTreeMap;

use stagepond::host::*;
use stagepond_leadership::log::{Command, Snapshot, Subject};

use crate::messages::RolloutStatus;

/// Scale of the shares in commands.
const MILLIONTHS: f64 = 1_000_000.0;

/// A share (0 to 1) as commands have it, in millionths.
pub fn share_in_millionths(share: f64) -> u32 {
    (share * MILLIONTHS).round() as u32
}

/// The limits on the trials of all builds, and the share that is in use here.
pub struct TrialLimits {
    /// Whether a trial's share may grow past its first stage only by a committed command.
    widen_by_decree: bool,
    /// Share of each build that a committed command names, in millionths.
    committed_shares: BTreeMap<Build, u32>,
    /// Frozen builds with the share (0 to 1) at which their trial is held. `None` until the platform tells the
    /// share in use, where no command names it and this process has started since the freeze.
    frozen_shares: BTreeMap<Build, Option<f64>>,
    /// The build and share last passed to the decision module.
    applied_share: Option<(Build, f64)>,
}

impl TrialLimits {
    /// Reads the limits from the committed state that an earlier process stored.
    pub fn new(widen_by_decree: bool, committed: &Snapshot) -> TrialLimits {
        let mut limits = TrialLimits {
            widen_by_decree,
            committed_shares: BTreeMap::new(),
            frozen_shares: BTreeMap::new(),
            applied_share: None,
        };
        limits.read(committed);
        limits
    }

    /// Brings the limits in line with a committed state that replaced the earlier one.
    pub fn read(&mut self, committed: &Snapshot) {
        self.committed_shares.clear();
        let commands = || committed.subjects.values().map(|entry| &entry.command);
        // Shares come first, since a freeze refers to the share of its build.
        for command in commands().filter(|command| matches!(command, Command::Widen { .. })) {
            self.apply(command);
        }
        let is_frozen = |build: &Build| {
            let entry = committed.subjects.get(&Subject::Freeze { build: build.0 });
            entry.is_some_and(|entry| matches!(entry.command, Command::Freeze { frozen: true, .. }))
        };
        self.frozen_shares.retain(|build, _| is_frozen(build));
        for command in commands().filter(|command| matches!(command, Command::Freeze { .. })) {
            self.apply(command);
        }
    }

    /// Follows a committed command. Returns whether it affects the share of a trial.
    pub fn apply(&mut self, command: &Command) -> bool {
        match *command {
            Command::Widen { build, share, .. } => {
                self.committed_shares.insert(Build(build), share);
                true
            }
            Command::Freeze { build, frozen: true } => {
                let build = Build(build);
                let held = self.share_at_freeze(build);
                self.frozen_shares.entry(build).or_insert(held);
                true
            }
            Command::Freeze { build, frozen: false } => {
                self.frozen_shares.remove(&Build(build));
                true
            }
            Command::Opening | Command::Voters(_) | Command::Vote { .. } => false,
        }
    }

    /// The share at which the trial of a build is held that is frozen now: the one that was committed, or the
    /// one in use here if that is less. `None` if neither is known.
    fn share_at_freeze(&self, build: Build) -> Option<f64> {
        let in_use = self.applied_share.map(|_| self.share_in_use(build));
        match (self.committed_share(build), in_use) {
            (Some(committed), Some(in_use)) => Some(committed.min(in_use)),
            (committed, in_use) => committed.or(in_use),
        }
    }

    /// Notes the platform's first status after the start: the trial of a build that was frozen before, with a
    /// share that no command names, is held at the share that the platform tells.
    pub fn on_platform_status(&mut self, status: RolloutStatus) {
        for (build, held) in &mut self.frozen_shares {
            held.get_or_insert(if *build == status.build { status.cap } else { 0.0 });
        }
    }

    /// Limits the cap of a trial to what committed commands allow. A lower cap from the platform applies at
    /// once, and a release is the platform's decision alone; only growth waits for a command.
    pub fn limit(&mut self, status: RolloutStatus) -> RolloutStatus {
        let mut cap = status.cap;
        if status.phase == Phase::Trial {
            if self.widen_by_decree && status.stage > 0 {
                let committed = self.committed_share(status.build).unwrap_or_default();
                // The share in use stays allowed until a committed command raises it.
                cap = cap.min(committed.max(self.share_in_use(status.build)));
            }
            let held = self.frozen_shares.get(&status.build).copied().flatten();
            cap = held.map_or(cap, |held| cap.min(held));
        }
        self.applied_share = Some((status.build, cap));
        RolloutStatus { cap, ..status }
    }

    fn share_in_use(&self, build: Build) -> f64 {
        self.applied_share.filter(|(applied, _)| *applied == build).map_or(0.0, |(_, cap)| cap)
    }

    fn committed_share(&self, build: Build) -> Option<f64> {
        self.committed_shares.get(&build).map(|share| f64::from(*share) / MILLIONTHS)
    }

    /// Whether a committed command allows a share of this many millionths.
    pub fn is_share_committed(&self, build: Build, share: u32) -> bool {
        self.committed_shares.get(&build).is_some_and(|committed| *committed >= share)
    }

    /// Whether the trial of a build must not grow nor be approved.
    pub fn is_frozen(&self, build: Build) -> bool {
        self.frozen_shares.contains_key(&build)
    }

    /// The frozen builds.
    pub fn frozen_builds(&self) -> impl Iterator<Item = Build> + '_ {
        self.frozen_shares.keys().copied()
    }

    /// The build on trial and its share (0 to 1) as last passed to the decision module.
    pub fn applied_share(&self) -> Option<(Build, f64)> {
        self.applied_share
    }
}
