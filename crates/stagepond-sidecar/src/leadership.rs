//! Leadership within the reducer: what goes to it, what comes of it. It owns the instance, the decrees that
//! bear on trials and the last word of the platform; it must never do I/O, and casts no vote and widens no
//! share but under a mandate or a decree in force.

use std::collections::{BTreeMap, BTreeSet};

use stagepond::host::*;
use stagepond_leadership::council::Promises;
use stagepond_leadership::ids::{Life, Number, Seat, Term};
use stagepond_leadership::instance::{Effect as Out, Input as In, Instance, Start};
use stagepond_leadership::mandate::Mandate;
use stagepond_leadership::planted::Planted;
use stagepond_leadership::record::{Decree, Subject, Voice};
use stagepond_leadership::seal::FORM;
use stagepond_leadership::wire::Health;

use crate::messages::{Effect, Standing};
use crate::operators::{KeyRing, LeadershipConfig};

/// What happened, for the log: each kind has a name of its own there.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipEvent {
    BecameLeader {
        term: Term,
        until: Tenths,
    },
    SteppedDown {
        term: Term,
        why: &'static str,
    },
    CommandCommitted {
        term: Term,
        number: Number,
        holder: Seat,
        decree: String,
    },
    SnapshotInstalled {
        number: Number,
    },
    Bootstrapped {
        term: Term,
    },
    CommandRejected {
        decree: String,
        why: String,
    },
    MemberHealthChanged {
        seat: Seat,
        health: Health,
    },
    /// Datagrams that were not taken, by reason, since the start.
    DatagramsDropped {
        counts: String,
    },
}

pub struct LeadershipController {
    instance: Instance,
    widen_by_decree: bool,
    /// What the platform said last, and when.
    said: Option<(Standing, Tenths)>,
    /// Shares that decrees allow, in millionths, by build; and builds whose trial must not grow, with the
    /// share that they had.
    widened: BTreeMap<Build, u32>,
    frozen: BTreeMap<Build, f64>,
    /// What the operators' file wants frozen.
    asked_frozen: BTreeSet<Build>,
    led: bool,
    voters: Vec<Peer>,
    /// How many datagrams were dropped when that was last told, and when it may be told again.
    dropped: (u64, Tenths),
    /// The share last told to the module.
    told: Option<(Build, f64)>,
}

/// What the reducer is to do after a step, besides carrying effects out.
#[derive(Default)]
pub struct StepOutcome {
    pub effects: Vec<Effect>,
    /// The voters or the lead changed: the module is to hear it.
    pub leadership_change: Option<(Vec<Peer>, bool)>,
    /// The share that is allowed changed: the module is to hear of the platform's last word again.
    pub share_changed: bool,
}

/// What is dropped is told at most this often: whoever sends it must not fill the log.
const COMPLAIN_EVERY: Tenths = Tenths::ms(1000);
const MILLION: f64 = 1_000_000.0;

pub fn is_leadership_datagram(words: &[u8]) -> bool {
    words.first() == Some(&FORM)
}

impl LeadershipController {
    pub fn new(
        now: Tenths, me: Peer, seed: u64, asked: &LeadershipConfig, promises: Option<Promises>,
    ) -> LeadershipController {
        let instance = Instance::new(Start {
            now,
            seat: Seat(me.0 as u16),
            life: Life(now.0 as u64),
            seed,
            bounds: asked.bounds.clone(),
            keys: asked.key_ring.keys_at(now),
            promises,
            planted: Planted::default(),
        });
        LeadershipController {
            instance,
            widen_by_decree: asked.widen_by_decree,
            said: None,
            widened: BTreeMap::new(),
            frozen: BTreeMap::new(),
            asked_frozen: asked.frozen_builds.iter().copied().collect(),
            led: false,
            voters: Vec::new(),
            dropped: (0, now),
            told: None,
        }
    }

    pub fn next_due(&self) -> Tenths {
        self.instance.next_due()
    }

    /// The build on trial and the share of it that the module was told last.
    pub fn effective_share(&self) -> Option<(Build, f64)> {
        self.told
    }

    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    pub fn on_datagram(&mut self, now: Tenths, words: &[u8]) -> StepOutcome {
        let mut came = self.step(now, In::Datagram(words));
        if now >= self.dropped.1 {
            let dropped = self.instance.status().dropped;
            let all: u64 = dropped.values().sum();
            if all > self.dropped.0 {
                self.dropped = (all, now + COMPLAIN_EVERY);
                let counts: Vec<String> =
                    dropped.iter().filter(|(_, n)| **n > 0).map(|(why, n)| format!("{why:?}={n}")).collect();
                came.effects
                    .push(Effect::Note(LeadershipEvent::DatagramsDropped { counts: counts.join(" ") }));
            }
        }
        came
    }
    pub fn tick(&mut self, now: Tenths) -> StepOutcome {
        if now >= self.next_due() {
            return self.step(now, In::Tick);
        }
        StepOutcome::default()
    }
    pub fn on_state_persisted(&mut self, now: Tenths, number: u64) -> StepOutcome {
        self.step(now, In::Kept(number))
    }
    pub fn leave(&mut self, now: Tenths) -> StepOutcome {
        self.step(now, In::Leave)
    }

    /// Others may have the new key already, or still the old one: both are taken for as long as the file says.
    fn new_keys(&mut self, now: Tenths, ring: &KeyRing) -> StepOutcome {
        let mut came = StepOutcome::default();
        for (key, lasts) in &ring.accepted_keys {
            let accept = In::AcceptKey { key: key.clone(), until: now + *lasts };
            came.effects.extend(self.step(now, accept).effects);
        }
        let lasts = ring.accepted_keys.iter().map(|(_, lasts)| *lasts).max().unwrap_or(Tenths(0));
        let new = In::NewKey { key: ring.sealing_key.clone(), old_until: now + lasts };
        let last = self.step(now, new);
        came.effects.extend(last.effects);
        StepOutcome { effects: came.effects, ..last }
    }

    /// The operators' file was read again.
    pub fn reload_config(&mut self, now: Tenths, asked: &LeadershipConfig) -> StepOutcome {
        self.asked_frozen = asked.frozen_builds.iter().copied().collect();
        let mut came = self.new_keys(now, &asked.key_ring);
        let more = self.ask_to_freeze(now);
        came.effects.extend(more.effects);
        StepOutcome {
            effects: came.effects,
            leadership_change: more.leadership_change.or(came.leadership_change),
            share_changed: came.share_changed || more.share_changed,
        }
    }

    /// Who leads brings the decrees into line with its operators' file.
    fn ask_to_freeze(&mut self, now: Tenths) -> StepOutcome {
        let mut came = StepOutcome::default();
        if !self.led {
            return came;
        }
        let standing = &self.instance.council().record().in_force().subjects;
        let frozen: BTreeSet<Build> = standing
            .values()
            .filter_map(|entry| match entry.decree {
                Decree::Freeze { build, frozen: true } => Some(Build(build)),
                _ => None,
            })
            .collect();
        let changes: Vec<(Build, bool)> = self
            .asked_frozen
            .difference(&frozen)
            .map(|build| (*build, true))
            .chain(frozen.difference(&self.asked_frozen).map(|build| (*build, false)))
            .collect();
        for (Build(build), frozen) in changes {
            let more = self.step(now, In::Command(Decree::Freeze { build, frozen }));
            came.effects.extend(more.effects);
            came.share_changed |= more.share_changed;
            came.leadership_change = more.leadership_change.or(came.leadership_change);
        }
        came
    }

    /// The module wants to vote. It is decided for all first; who does not lead decides nothing.
    pub fn propose_vote(
        &mut self, now: Tenths, build: Build, stage: u32, verdict: Option<Verdict>,
    ) -> StepOutcome {
        let voice = match verdict {
            Some(Verdict::On) if self.frozen.contains_key(&build) => {
                return StepOutcome::default();
            }
            Some(Verdict::On) => Voice::On,
            Some(Verdict::Hold) => Voice::Hold,
            Some(Verdict::Back) => Voice::Back,
            None => Voice::Withdrawn,
        };
        self.step(now, In::Command(Decree::Vote { build: build.0, stage, voice }))
    }

    /// The platform's word, with the share that may be used of it here.
    pub fn on_rollout_status(&mut self, now: Tenths, standing: Standing) -> (Standing, StepOutcome) {
        let newer = self.said.is_none_or(|(old, _)| standing.build >= old.build);
        if newer {
            self.said = Some((standing, now));
        }
        let came = if newer { self.ask_to_widen(now) } else { StepOutcome::default() };
        (self.allowed(standing), came)
    }

    /// What the platform said last, as old as it is now, with the share that may be used of it.
    pub fn current_status(&mut self, now: Tenths) -> Option<Standing> {
        let (said, at) = self.said?;
        Some(self.allowed(Standing { since: said.since + (now - at), ..said }))
    }

    /// A lower cap binds at once and a release is the platform's own; only growth waits for a decree.
    fn allowed(&mut self, standing: Standing) -> Standing {
        let mut cap = standing.cap;
        if standing.phase == Phase::Trial {
            if self.widen_by_decree && standing.stage > 0 {
                let decreed =
                    self.widened.get(&standing.build).map_or(0.0, |share| f64::from(*share) / MILLION);
                // Until one stands, what was allowed before goes on.
                let before = self.told.filter(|(b, _)| *b == standing.build).map_or(0.0, |(_, cap)| cap);
                cap = cap.min(decreed.max(before));
            }
            cap = self.frozen.get(&standing.build).map_or(cap, |frozen| cap.min(*frozen));
        }
        self.told = Some((standing.build, cap));
        Standing { cap, ..standing }
    }

    fn ask_to_widen(&mut self, now: Tenths) -> StepOutcome {
        let Some((said, _)) = self.said.filter(|_| self.widen_by_decree && self.led) else {
            return StepOutcome::default();
        };
        let share = (said.cap * MILLION).floor() as u32;
        let wider = said.stage > 0 && self.widened.get(&said.build).is_none_or(|has| *has < share);
        if said.phase != Phase::Trial || !wider || self.frozen.contains_key(&said.build) {
            return StepOutcome::default();
        }
        self.step(now, In::Command(Decree::Widen { build: said.build.0, stage: said.stage, share }))
    }

    fn step(&mut self, now: Tenths, input: In) -> StepOutcome {
        let mut came = StepOutcome::default();
        let mut asks = false;
        for out in self.instance.step(now, input) {
            match out {
                Out::Send { to, bytes } => {
                    came.effects.push(Effect::Tell { to: Some(Peer(usize::from(to.0))), words: bytes });
                }
                Out::Keep { number, promises } => came.effects.push(Effect::Keep { number, promises }),
                Out::Leads(mandate) => {
                    asks = true;
                    came.effects.push(Effect::Note(LeadershipEvent::BecameLeader {
                        term: mandate.term(),
                        until: mandate.until(),
                    }));
                }
                Out::SteppedDown { term, why } => {
                    came.effects.push(Effect::Note(LeadershipEvent::SteppedDown { term, why }));
                }
                Out::InForce { entry, mandate } => {
                    let vote = self.vote(&entry.decree, mandate);
                    let (term, number, holder) = (entry.term, entry.number, entry.holder);
                    came.share_changed |= self.bears(&entry.decree);
                    // What was held back while it was frozen is asked for again.
                    asks |= matches!(entry.decree, Decree::Freeze { frozen: false, .. });
                    let decree = format!("{:?}", entry.decree);
                    came.effects.push(Effect::Note(LeadershipEvent::CommandCommitted {
                        term,
                        number,
                        holder,
                        decree,
                    }));
                    came.effects.extend(vote);
                }
                Out::CaughtUp { number } => {
                    came.share_changed = true;
                    came.effects.push(Effect::Note(LeadershipEvent::SnapshotInstalled { number }));
                    self.look_up_all();
                }
                Out::Founded { era } => {
                    came.effects
                        .push(Effect::Note(LeadershipEvent::Bootstrapped { term: Term::founding(era) }));
                }
                Out::Refused { decree, why } => {
                    let (decree, why) = (format!("{decree:?}"), why.to_string());
                    came.effects.push(Effect::Note(LeadershipEvent::CommandRejected { decree, why }));
                }
                Out::Member { seat, health } => {
                    came.effects.push(Effect::Note(LeadershipEvent::MemberHealthChanged { seat, health }));
                }
            }
        }
        let led = self.instance.mandate(now).is_some();
        let voters = self.instance.council().voters();
        let mut voters: Vec<Peer> = voters.all().map(|v| Peer(usize::from(v.seat.0))).collect();
        voters.dedup();
        if (led, &voters) != (self.led, &self.voters) {
            (self.led, self.voters) = (led, voters.clone());
            came.leadership_change = Some((voters, led));
        }
        if asks {
            for more in [self.ask_to_widen(now), self.ask_to_freeze(now)] {
                came.effects.extend(more.effects);
                came.share_changed |= more.share_changed;
            }
        }
        came
    }

    /// Only who leads gets leave with a decree, and only then is a vote cast.
    fn vote(&self, decree: &Decree, mandate: Option<Mandate>) -> Option<Effect> {
        let (&Decree::Vote { build, stage, voice }, Some(mandate)) = (decree, mandate) else { return None };
        let verdict = match voice {
            Voice::On => Some(Verdict::On),
            Voice::Hold => Some(Verdict::Hold),
            Voice::Back => Some(Verdict::Back),
            Voice::Withdrawn => None,
        };
        Some(Effect::Vote { build: Build(build), stage, verdict, mandate: Some(mandate) })
    }

    /// Whether a decree changes what share of a trial may be used.
    fn bears(&mut self, decree: &Decree) -> bool {
        match *decree {
            Decree::Widen { build, share, .. } => {
                self.widened.insert(Build(build), share);
                true
            }
            Decree::Freeze { build, frozen } => {
                let build = Build(build);
                if frozen {
                    let cap = self.told.filter(|(b, _)| *b == build).map_or(0.0, |(_, cap)| cap);
                    self.frozen.entry(build).or_insert(cap);
                } else {
                    self.frozen.remove(&build);
                }
                true
            }
            Decree::Opening | Decree::Voters(_) | Decree::Vote { .. } => false,
        }
    }

    fn look_up_all(&mut self) {
        let subjects = self.instance.council().record().in_force().subjects.clone();
        let standing = |subject: &Subject| matches!(subject, Subject::Widen { .. } | Subject::Freeze { .. });
        for (_, entry) in subjects.iter().filter(|(subject, _)| standing(subject)) {
            self.bears(&entry.decree);
        }
    }
}
