//! Leadership within the reducer: what goes to it, what comes of it. It owns the instance, the decrees that
//! bear on trials and the last word of the platform; it must never do I/O, and casts no vote and widens no
//! share but under a mandate or a decree in force.

use std::collections::{BTreeMap, BTreeSet};

use stagepond::host::*;
use stagepond_leadership::ids::{Life, Number, Seat, Term};
use stagepond_leadership::instance::{Effect as Out, Input as In, Instance, InstanceConfig};
use stagepond_leadership::lease::LeaderLease;
use stagepond_leadership::log::{Command, Subject, VoteChoice};
use stagepond_leadership::planted::Planted;
use stagepond_leadership::raft::PersistentState;
use stagepond_leadership::seal::FORMAT_BYTE;
use stagepond_leadership::wire::Health;

use crate::messages::{Effect, RolloutStatus};
use crate::operators::{KeyRing, Leadership};

/// What happened, for the log: each kind has a name of its own there.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Leads {
        term: Term,
        until: Tenths,
    },
    SteppedDown {
        term: Term,
        why: &'static str,
    },
    InForce {
        term: Term,
        number: Number,
        holder: Seat,
        decree: String,
    },
    CaughtUp {
        number: Number,
    },
    Founded {
        term: Term,
    },
    Refused {
        decree: String,
        why: String,
    },
    Member {
        seat: Seat,
        health: Health,
    },
    /// Datagrams that were not taken, by reason, since the start.
    Dropped {
        counts: String,
    },
}

pub struct Leading {
    instance: Instance,
    widen_by_decree: bool,
    /// What the platform said last, and when.
    said: Option<(RolloutStatus, Tenths)>,
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
pub struct Came {
    pub effects: Vec<Effect>,
    /// The voters or the lead changed: the module is to hear it.
    pub lead: Option<(Vec<Peer>, bool)>,
    /// The share that is allowed changed: the module is to hear of the platform's last word again.
    pub again: bool,
}

/// What is dropped is told at most this often: whoever sends it must not fill the log.
const COMPLAIN_EVERY: Tenths = Tenths::ms(1000);
const MILLION: f64 = 1_000_000.0;

pub fn is_for_leadership(words: &[u8]) -> bool {
    words.first() == Some(&FORMAT_BYTE)
}

impl Leading {
    pub fn new(
        now: Tenths, me: Peer, seed: u64, asked: &Leadership, promises: Option<PersistentState>,
    ) -> Leading {
        let instance = Instance::new(InstanceConfig {
            now,
            seat: Seat(me.0 as u16),
            life: Life(now.0 as u64),
            seed,
            settings: asked.bounds.clone(),
            keys: asked.ring.keys(now),
            persisted: promises,
            planted: Planted::default(),
        });
        Leading {
            instance,
            widen_by_decree: asked.widen_by_decree,
            said: None,
            widened: BTreeMap::new(),
            frozen: BTreeMap::new(),
            asked_frozen: asked.frozen.iter().copied().collect(),
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
    pub fn share(&self) -> Option<(Build, f64)> {
        self.told
    }

    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    pub fn datagram(&mut self, now: Tenths, words: &[u8]) -> Came {
        let mut came = self.step(now, In::Datagram(words));
        if now >= self.dropped.1 {
            let dropped = self.instance.status().dropped;
            let all: u64 = dropped.values().sum();
            if all > self.dropped.0 {
                self.dropped = (all, now + COMPLAIN_EVERY);
                let counts: Vec<String> =
                    dropped.iter().filter(|(_, n)| **n > 0).map(|(why, n)| format!("{why:?}={n}")).collect();
                came.effects.push(Effect::LogLeadershipEvent(Note::Dropped { counts: counts.join(" ") }));
            }
        }
        came
    }
    pub fn tick(&mut self, now: Tenths) -> Came {
        if now >= self.next_due() {
            return self.step(now, In::Tick);
        }
        Came::default()
    }
    pub fn kept(&mut self, now: Tenths, number: u64) -> Came {
        self.step(now, In::Persisted(number))
    }
    pub fn leave(&mut self, now: Tenths) -> Came {
        self.step(now, In::Leave)
    }

    /// Others may have the new key already, or still the old one: both are taken for as long as the file says.
    fn new_keys(&mut self, now: Tenths, ring: &KeyRing) -> Came {
        let mut came = Came::default();
        for (key, lasts) in &ring.also {
            let accept = In::AcceptKey { key: key.clone(), until: now + *lasts };
            came.effects.extend(self.step(now, accept).effects);
        }
        let lasts = ring.also.iter().map(|(_, lasts)| *lasts).max().unwrap_or(Tenths(0));
        let new = In::NewKey { key: ring.sealing.clone(), old_until: now + lasts };
        let last = self.step(now, new);
        came.effects.extend(last.effects);
        Came { effects: came.effects, ..last }
    }

    /// The operators' file was read again.
    pub fn reread(&mut self, now: Tenths, asked: &Leadership) -> Came {
        self.asked_frozen = asked.frozen.iter().copied().collect();
        let mut came = self.new_keys(now, &asked.ring);
        let more = self.ask_to_freeze(now);
        came.effects.extend(more.effects);
        Came { effects: came.effects, lead: more.lead.or(came.lead), again: came.again || more.again }
    }

    /// Who leads brings the decrees into line with its operators' file.
    fn ask_to_freeze(&mut self, now: Tenths) -> Came {
        let mut came = Came::default();
        if !self.led {
            return came;
        }
        let standing = &self.instance.raft().log().committed().subjects;
        let frozen: BTreeSet<Build> = standing
            .values()
            .filter_map(|entry| match entry.command {
                Command::Freeze { build, frozen: true } => Some(Build(build)),
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
            let more = self.step(now, In::Command(Command::Freeze { build, frozen }));
            came.effects.extend(more.effects);
            came.again |= more.again;
            came.lead = more.lead.or(came.lead);
        }
        came
    }

    /// The module wants to vote. It is decided for all first; who does not lead decides nothing.
    pub fn wants(&mut self, now: Tenths, build: Build, stage: u32, verdict: Option<Verdict>) -> Came {
        let voice = match verdict {
            Some(Verdict::On) if self.frozen.contains_key(&build) => {
                return Came::default();
            }
            Some(Verdict::On) => VoteChoice::On,
            Some(Verdict::Hold) => VoteChoice::Hold,
            Some(Verdict::Back) => VoteChoice::Back,
            None => VoteChoice::Withdrawn,
        };
        self.step(now, In::Command(Command::Vote { build: build.0, stage, voice }))
    }

    /// The platform's word, with the share that may be used of it here.
    pub fn standing(&mut self, now: Tenths, standing: RolloutStatus) -> (RolloutStatus, Came) {
        let newer = self.said.is_none_or(|(old, _)| standing.build >= old.build);
        if newer {
            self.said = Some((standing, now));
        }
        let came = if newer { self.ask_to_widen(now) } else { Came::default() };
        (self.allowed(standing), came)
    }

    /// What the platform said last, as old as it is now, with the share that may be used of it.
    pub fn said(&mut self, now: Tenths) -> Option<RolloutStatus> {
        let (said, at) = self.said?;
        Some(self.allowed(RolloutStatus { age: said.age + (now - at), ..said }))
    }

    /// A lower cap binds at once and a release is the platform's own; only growth waits for a decree.
    fn allowed(&mut self, standing: RolloutStatus) -> RolloutStatus {
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
        RolloutStatus { cap, ..standing }
    }

    fn ask_to_widen(&mut self, now: Tenths) -> Came {
        let Some((said, _)) = self.said.filter(|_| self.widen_by_decree && self.led) else {
            return Came::default();
        };
        let share = (said.cap * MILLION).floor() as u32;
        let wider = said.stage > 0 && self.widened.get(&said.build).is_none_or(|has| *has < share);
        if said.phase != Phase::Trial || !wider || self.frozen.contains_key(&said.build) {
            return Came::default();
        }
        self.step(now, In::Command(Command::Widen { build: said.build.0, stage: said.stage, share }))
    }

    fn step(&mut self, now: Tenths, input: In) -> Came {
        let mut came = Came::default();
        let mut asks = false;
        for out in self.instance.step(now, input) {
            match out {
                Out::Send { to, bytes } => {
                    came.effects
                        .push(Effect::SendDatagram { to: Some(Peer(usize::from(to.0))), payload: bytes });
                }
                Out::Persist { version: number, state: promises } => {
                    came.effects.push(Effect::PersistRaftState { number, state: promises })
                }
                Out::BecameLeader(mandate) => {
                    asks = true;
                    came.effects.push(Effect::LogLeadershipEvent(Note::Leads {
                        term: mandate.term(),
                        until: mandate.expires_at(),
                    }));
                }
                Out::SteppedDown { term, reason: why } => {
                    came.effects.push(Effect::LogLeadershipEvent(Note::SteppedDown { term, why }));
                }
                Out::Committed { entry, lease: mandate } => {
                    let vote = self.vote(&entry.command, mandate);
                    let (term, number, holder) = (entry.term, entry.number, entry.leader);
                    came.again |= self.bears(&entry.command);
                    // What was held back while it was frozen is asked for again.
                    asks |= matches!(entry.command, Command::Freeze { frozen: false, .. });
                    let decree = format!("{:?}", entry.command);
                    came.effects.push(Effect::LogLeadershipEvent(Note::InForce {
                        term,
                        number,
                        holder,
                        decree,
                    }));
                    came.effects.extend(vote);
                }
                Out::SnapshotInstalled { number } => {
                    came.again = true;
                    came.effects.push(Effect::LogLeadershipEvent(Note::CaughtUp { number }));
                    self.look_up_all();
                }
                Out::Bootstrapped { era } => {
                    came.effects
                        .push(Effect::LogLeadershipEvent(Note::Founded { term: Term::first_of_era(era) }));
                }
                Out::Rejected { command: decree, reason: why } => {
                    let (decree, why) = (format!("{decree:?}"), why.to_string());
                    came.effects.push(Effect::LogLeadershipEvent(Note::Refused { decree, why }));
                }
                Out::MemberChanged { seat, health } => {
                    came.effects.push(Effect::LogLeadershipEvent(Note::Member { seat, health }));
                }
            }
        }
        let led = self.instance.lease(now).is_some();
        let voters = self.instance.raft().voters();
        let mut voters: Vec<Peer> = voters.iter().map(|v| Peer(usize::from(v.seat.0))).collect();
        voters.dedup();
        if (led, &voters) != (self.led, &self.voters) {
            (self.led, self.voters) = (led, voters.clone());
            came.lead = Some((voters, led));
        }
        if asks {
            for more in [self.ask_to_widen(now), self.ask_to_freeze(now)] {
                came.effects.extend(more.effects);
                came.again |= more.again;
            }
        }
        came
    }

    /// Only who leads gets leave with a decree, and only then is a vote cast.
    fn vote(&self, decree: &Command, mandate: Option<LeaderLease>) -> Option<Effect> {
        let (&Command::Vote { build, stage, voice }, Some(mandate)) = (decree, mandate) else { return None };
        let verdict = match voice {
            VoteChoice::On => Some(Verdict::On),
            VoteChoice::Hold => Some(Verdict::Hold),
            VoteChoice::Back => Some(Verdict::Back),
            VoteChoice::Withdrawn => None,
        };
        Some(Effect::CastVote { build: Build(build), stage, verdict, lease: Some(mandate) })
    }

    /// Whether a decree changes what share of a trial may be used.
    fn bears(&mut self, decree: &Command) -> bool {
        match *decree {
            Command::Widen { build, share, .. } => {
                self.widened.insert(Build(build), share);
                true
            }
            Command::Freeze { build, frozen } => {
                let build = Build(build);
                if frozen {
                    let cap = self.told.filter(|(b, _)| *b == build).map_or(0.0, |(_, cap)| cap);
                    self.frozen.entry(build).or_insert(cap);
                } else {
                    self.frozen.remove(&build);
                }
                true
            }
            Command::Opening | Command::Voters(_) | Command::Vote { .. } => false,
        }
    }

    fn look_up_all(&mut self) {
        let subjects = self.instance.raft().log().committed().subjects.clone();
        let standing = |subject: &Subject| matches!(subject, Subject::Widen { .. } | Subject::Freeze { .. });
        for (_, entry) in subjects.iter().filter(|(subject, _)| standing(subject)) {
            self.bears(&entry.command);
        }
    }
}
