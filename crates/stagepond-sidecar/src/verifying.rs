//! Verified operations within the reducer: what a pod answers counts as succeeded only if it is what was signed,
//! and current. It owns the client of the metadata, when that is refreshed and what waits for it; it must never do
//! I/O, let bytes through unchecked, or hold an invocation beyond its time.

use std::collections::{BTreeMap, VecDeque};

use stagepond::host::*;
use stagepond_tuf::client::{
    Client, FileRequest, Limits, MetadataError, Progress, TrustedState, VersionFloors,
};
use stagepond_tuf::metadata::{Target, UnixSeconds};
use stagepond_tuf::planted::Planted;
use stagepond_tuf::target::{TargetError, TargetVerifier};

use crate::messages::MAX_BODY_BYTES;

/// Targets that are known from searches; the oldest makes room, and is searched for again.
const KNOWN_MAX: usize = 1024;
/// Searches that wait for their turn.
const WANTED_MAX: usize = 64;
/// A metadata file comes over the same connections as any answer, and is no longer than one.
const FILE_MAX: u64 = MAX_BODY_BYTES as u64;
/// A first refresh that failed is tried again after this, then after twice as long each time.
const AGAIN_FIRST: Tenths = Tenths::ms(500);
const AGAIN_MOST: Tenths = Tenths::ms(60_000);
/// For one file; a pod that takes longer is as good as silent.
pub const FETCH_WITHIN: Tenths = Tenths::ms(2000);

/// What to do when metadata has ended and nothing newer is to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Refuse,
    /// Goes on with what was verified, for so long, and says so with each refresh.
    GoOn(Tenths),
}

/// As the operators want it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub op: Op,
    /// What of a target's path on the wire comes before its name in the metadata.
    pub targets: String,
    /// Where the metadata are, with the pods that have the targets.
    pub metadata: String,
    pub root: Vec<u8>,
    pub kept: Option<TrustedState>,
    pub refresh_every: Tenths,
    pub ended: Ended,
    pub floors: VersionFloors,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Check {
    Good,
    /// Not what was signed, or nothing that was; the kind of refusal.
    Bad(&'static str),
    /// The metadata that would tell are on their way.
    Wait,
}

/// What happened, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Trusted {
        versions: Vec<(&'static str, u64, String)>,
    },
    Refused {
        kind: &'static str,
        why: String,
        again_in: Tenths,
    },
    /// What is trusted has ended and is used all the same, until then.
    GoesOnEnded {
        since: String,
    },
}

pub struct Verifying {
    asked: Asked,
    client: Client,
    rng: fastrand::Rng,
    /// The file that is on its way, and whether a refresh or a search asked for it.
    out: Option<(FileRequest, bool)>,
    refresh_at: Tenths,
    failures: u32,
    known: BTreeMap<String, Result<Target, &'static str>>,
    known_order: VecDeque<String>,
    wanted: VecDeque<String>,
    looking: Option<String>,
    pub told: Vec<Told>,
    /// What is trusted changed and is to be kept.
    pub keep: Option<TrustedState>,
}

fn second(now: Tenths) -> UnixSeconds {
    UnixSeconds(now.0.div_euclid(10_000))
}

impl Verifying {
    pub fn new(now: Tenths, asked: Asked, seed: u64) -> Result<Verifying, MetadataError> {
        let limits = Limits {
            root_bytes: FILE_MAX,
            timestamp_bytes: FILE_MAX,
            snapshot_bytes: FILE_MAX,
            targets_bytes: FILE_MAX,
            ..Limits::default()
        };
        let client = match &asked.kept {
            Some(kept) => Client::resume(kept, asked.floors, limits, Planted::default())?,
            None => Client::new(&asked.root, asked.floors, limits, Planted::default())?,
        };
        Ok(Verifying {
            asked,
            client,
            rng: fastrand::Rng::with_seed(seed ^ 0x7f),
            out: None,
            refresh_at: now,
            failures: 0,
            known: BTreeMap::new(),
            known_order: VecDeque::new(),
            wanted: VecDeque::new(),
            looking: None,
            told: Vec::new(),
            keep: None,
        })
    }

    pub fn op(&self) -> Op {
        self.asked.op
    }

    pub fn client(&self) -> &Client {
        &self.client
    }

    /// The target that a call asks for, if it asks for one.
    pub fn target_of<'a>(&self, op: Op, path: &'a str) -> Option<&'a str> {
        let under_metadata = path.starts_with(&self.asked.metadata);
        (op == self.asked.op && !under_metadata)
            .then(|| path.strip_prefix(self.asked.targets.as_str()).unwrap_or(path))
    }

    /// An invocation for it has come: what is needed to check the answer is asked for at once.
    pub fn expect(&mut self, path: &str) {
        let known = self.known.contains_key(path) || self.looking.as_deref() == Some(path);
        if !known && !self.wanted.iter().any(|w| w == path) && self.wanted.len() < WANTED_MAX {
            self.wanted.push_back(path.to_string());
        }
    }

    pub fn check(&mut self, path: &str, bytes: &[u8]) -> Check {
        let target = match self.known.get(path) {
            Some(Ok(target)) => target,
            Some(Err(kind)) => return Check::Bad(kind),
            None => {
                self.expect(path);
                return Check::Wait;
            }
        };
        let mut checking = TargetVerifier::new(target, Planted::default());
        match checking.update(bytes).and_then(|()| checking.finish()) {
            Ok(()) => Check::Good,
            Err(TargetError::HashMismatch(_)) => Check::Bad("target_hash"),
            Err(TargetError::TooLong(_)) => Check::Bad("target_longer"),
            Err(TargetError::TooShort { .. }) => Check::Bad("target_shorter"),
        }
    }

    pub fn next_due(&self) -> Tenths {
        if self.out.is_some() {
            return Tenths::NEVER;
        }
        if self.may_look() {
            return Tenths(0);
        }
        self.refresh_at
    }

    fn may_look(&self) -> bool {
        !self.wanted.is_empty() && (self.client.has_top_level_metadata() || self.failures > 0)
    }

    /// The file to be fetched now, if any: one at a time.
    pub fn next(&mut self, now: Tenths) -> Option<String> {
        if self.out.is_some() {
            return None;
        }
        if now >= self.refresh_at {
            let want = self.client.refresh(second(now));
            return Some(self.ask(want, true));
        }
        while self.may_look() {
            let path = self.wanted.pop_front()?;
            self.looking = Some(path.clone());
            let came = self.client.find_target(second(now), self.grace(), &path);
            if let Some(want) = self.searched(now, came) {
                return Some(self.ask(want, false));
            }
        }
        None
    }

    fn grace(&self) -> i64 {
        match self.asked.ended {
            Ended::Refuse => 0,
            Ended::GoOn(lasts) => lasts.0 / 10_000,
        }
    }

    fn ask(&mut self, want: FileRequest, refresh: bool) -> String {
        let path = format!("{}{}", self.asked.metadata, want.path);
        self.out = Some((want, refresh));
        path
    }

    /// What came of the fetch: the file, or nothing. True if another follows at once.
    pub fn fetched(&mut self, now: Tenths, file: Option<&[u8]>) -> Option<String> {
        let (_, refresh) = self.out.take()?;
        let came = match file {
            Some(bytes) => self.client.on_file(bytes),
            None => self.client.on_file_missing(),
        };
        if !refresh {
            let want = self.searched(now, came)?;
            return Some(self.ask(want, false));
        }
        match came {
            Ok(Progress::NeedFile(want)) => return Some(self.ask(want, true)),
            Ok(_) => {
                let kept = self.client.trusted_state();
                if self.asked.kept.as_ref() != Some(&kept) {
                    self.forget_all();
                    let trusted = self.client.trusted_roles().into_iter();
                    let versions = trusted.map(|(role, v, ends)| (role, v.0, ends.to_string())).collect();
                    self.told.push(Told::Trusted { versions });
                    self.asked.kept = Some(kept.clone());
                    self.keep = Some(kept);
                }
                self.failures = 0;
                // Not in step with others that started together.
                self.refresh_at = now + self.asked.refresh_every.scale(0.75 + self.rng.f64() / 2.0);
            }
            Err(refusal) => {
                let most = AGAIN_MOST.min(self.asked.refresh_every.max(AGAIN_FIRST));
                let again = Tenths(AGAIN_FIRST.0 << self.failures.min(10)).min(most);
                let again = again.scale(0.5 + self.rng.f64() / 2.0);
                self.failures += 1;
                self.refresh_at = now + again;
                let (kind, why) = (refusal.kind(), refusal.to_string());
                self.told.push(Told::Refused { kind, why, again_in: again });
                let ends = self.client.earliest_expiry();
                if ends <= second(now) && ends.0 + self.grace() > second(now).0 {
                    self.told.push(Told::GoesOnEnded { since: ends.to_string() });
                }
                // Refusals are looked at again: a search may have been refused for want of what is not there.
                self.known.retain(|_, known| known.is_ok());
            }
        }
        None
    }

    fn forget_all(&mut self) {
        self.known.clear();
        self.known_order.clear();
        self.client.unload_delegated_roles();
    }

    fn searched(&mut self, now: Tenths, came: Result<Progress, MetadataError>) -> Option<FileRequest> {
        let known = match came {
            Ok(Progress::NeedFile(want)) => return Some(want),
            Ok(Progress::TargetFound { target, .. }) => Ok(target),
            Ok(Progress::UpToDate) => Err("unasked"),
            Err(refusal) => {
                let (kind, why) = (refusal.kind(), refusal.to_string());
                let again_in = (self.refresh_at - now).max(Tenths(0));
                self.told.push(Told::Refused { kind, why, again_in });
                Err(kind)
            }
        };
        let path = self.looking.take()?;
        if self.known_order.len() >= KNOWN_MAX {
            self.known_order.pop_front().map(|oldest| self.known.remove(&oldest));
        }
        self.known_order.push_back(path.clone());
        self.known.insert(path, known);
        None
    }

    /// What is known counts only while it is current.
    pub fn look_at_the_clock(&mut self, now: Tenths) {
        let ends = self.client.earliest_expiry().0 + self.grace();
        if self.client.has_top_level_metadata()
            && second(now).0 >= ends
            && self.known.values().any(Result::is_ok)
        {
            self.known.clear();
            self.known_order.clear();
        }
    }
}
