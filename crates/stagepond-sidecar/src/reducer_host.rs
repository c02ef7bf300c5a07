//! The reducer's state about invocations, dispatches, timers and pods, and the calls by which the decision module
//! changes it ([`Host`]). Effects are collected for the reducer to return. No I/O and no clock.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use stagepond::host::*;

use crate::executed_ids::{must_not_run_twice, ExecutedIds};
use crate::messages::*;

/// An invocation that is unanswered or still has open dispatches.
pub(crate) struct PendingInvocation {
    pub(crate) number: InvocationNumber,
    pub(crate) request_id: RequestId,
    pub(crate) request: Arc<ForwardedRequest>,
    pub(crate) deadline: Tenths,
    /// Number of dispatches that the module has asked for, including those that could not be sent.
    pub(crate) dispatch_count: usize,
    /// Open dispatches by their index within the invocation.
    pub(crate) open_dispatches: Vec<(usize, DispatchId)>,
    pub(crate) answered: bool,
    /// Whether a second run could do harm.
    pub(crate) must_not_run_twice: bool,
    /// Whether a dispatch has ended in a way that doesn't prove that no pod ran it.
    pub(crate) may_have_run: bool,
    /// Path of the signed target that the invocation asks for, if its operation is verified.
    pub(crate) target: Option<String>,
    /// Check that the last response to the invocation failed.
    pub(crate) failed_check: Option<&'static str>,
}

/// A dispatch that has not ended.
pub(crate) struct OpenDispatch {
    pub(crate) inv: InvId,
    /// Index within the invocation, from 0.
    pub(crate) nth: usize,
    pub(crate) started_at: Tenths,
    pub(crate) deadline: Tenths,
}

/// What distinguishes one pod process from the next under the same name.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct ProcessIdentity {
    pub(crate) address: SocketAddr,
    pub(crate) started_at: Option<Tenths>,
    pub(crate) build: Build,
}

/// A pod that discovery lists, or listed within [`GONE_POD_RETENTION`].
pub(crate) struct KnownPod {
    pub(crate) id: PodId,
    pub(crate) process: ProcessIdentity,
    pub(crate) gone_since: Option<Tenths>,
}

/// How long a pod that discovery no longer lists stays known. It may come back unchanged, and a dispute about
/// it may arrive late; this is longer than either takes.
pub(crate) const GONE_POD_RETENTION: Tenths = Tenths::ms(60_000);

/// All state except the module, in a struct of its own so that the module can call back into it.
pub(crate) struct ReducerHost {
    pub(crate) now: Tenths,
    pub(crate) max_dispatches: usize,
    /// Whether an invocation may have several open dispatches.
    pub(crate) parallel_dispatches: bool,
    pub(crate) invocations: HashMap<InvId, PendingInvocation>,
    /// Request ids of `invocations`; each can be used again once its last dispatch has ended.
    pub(crate) request_ids: HashSet<RequestId>,
    /// Ids of earlier invocations that must not run again.
    pub(crate) executed_ids: ExecutedIds,
    /// For each operation, whether a second run of an invocation could do harm.
    pub(crate) must_not_run_twice: Vec<bool>,
    /// Number of invocations without a final answer.
    pub(crate) unanswered: usize,
    pub(crate) dispatches: HashMap<DispatchId, OpenDispatch>,
    pub(crate) last_dispatch: u64,
    pub(crate) dispatch_deadlines: BTreeSet<(Tenths, DispatchId)>,
    /// Timers that the module set, with its token.
    pub(crate) timers: BTreeSet<(Tenths, u64)>,
    /// Dispatches that ended during a call of the module. The module is not reentrant, so they are reported
    /// after the call has returned.
    pub(crate) unreported_endings: VecDeque<(InvId, usize, Ending)>,
    pub(crate) pods: HashMap<PodName, KnownPod>,
    pub(crate) addresses: HashMap<PodId, SocketAddr>,
    pub(crate) last_pod: u32,
    /// With leadership on, a vote that the module asks for is first proposed to the group.
    pub(crate) leadership_enabled: bool,
    pub(crate) unproposed_votes: VecDeque<(Build, u32, Option<Verdict>)>,
    pub(crate) effects: Vec<Effect>,
}

impl Host for ReducerHost {
    fn now(&self) -> Tenths {
        self.now
    }

    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths) {
        let Some(invocation) = self.invocations.get_mut(inv) else { return };
        let nth = invocation.dispatch_count;
        invocation.dispatch_count += 1;
        let deadline = until.min(invocation.deadline);
        let may_overlap = invocation.open_dispatches.is_empty() || self.parallel_dispatches;
        let is_refused =
            invocation.answered || nth >= self.max_dispatches || deadline <= self.now || !may_overlap;
        let Some(&to) = self.addresses.get(&pod).filter(|_| !is_refused) else {
            return self.unreported_endings.push_back((inv.clone(), nth, Ending::Moot));
        };
        self.last_dispatch += 1;
        let id = DispatchId(self.last_dispatch);
        invocation.open_dispatches.push((nth, id));
        self.dispatch_deadlines.insert((deadline, id));
        self.dispatches.insert(id, OpenDispatch { inv: inv.clone(), nth, started_at: self.now, deadline });
        let (number, request) = (invocation.number, invocation.request.clone());
        self.effects.push(Effect::Dispatch { id, number, request, to, timeout: deadline - self.now });
    }

    fn throttle(&mut self, inv: &InvId, retry_after: Tenths) {
        self.answer(inv, FinalAnswer::Throttled { retry_after });
    }

    fn terminate(&mut self, inv: &InvId) {
        self.answer(inv, FinalAnswer::Terminated);
    }

    fn cancel(&mut self, inv: &InvId, nth: usize) {
        let invocation = self.invocations.get(inv);
        let dispatch = invocation.and_then(|i| i.open_dispatches.iter().find(|(n, _)| *n == nth));
        if let Some(&(_, id)) = dispatch {
            self.remove_dispatch(id);
            self.effects.push(Effect::AbortDispatch(id));
            self.unreported_endings.push_back((inv.clone(), nth, Ending::Cancelled));
        }
    }

    fn set_timer(&mut self, delay: Tenths, token: u64) {
        self.timers.insert((self.now + delay, token));
    }

    fn probe(&mut self, _pod: PodId) {
        self.log("probes are not supported");
    }

    fn close_idle_connections(&mut self, pod: PodId) {
        self.effects.extend(self.addresses.get(&pod).copied().map(Effect::CloseIdleConnections));
    }

    fn send_to_peer(&mut self, to: Option<Peer>, payload: &[u8]) {
        self.effects.push(Effect::SendDatagram { to, payload: payload.to_vec() });
    }

    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict) {
        self.request_vote(build, stage, Some(verdict));
    }

    fn withdraw_vote(&mut self, build: Build, stage: u32) {
        self.request_vote(build, stage, None);
    }

    /// Does nothing: the sidecar always follows discovery and the platform.
    fn subscribe(&mut self, _wanted: bool) {}

    fn reload_pod_list(&mut self) {
        self.effects.push(Effect::RequestPodSnapshot);
    }

    fn log(&mut self, message: &str) {
        self.effects.push(Effect::Log(message.to_string()));
    }
}

impl ReducerHost {
    /// The state at the start: nothing is known and nothing under way.
    pub(crate) fn new(now: Tenths, facts: &Facts, leadership_enabled: bool) -> ReducerHost {
        ReducerHost {
            now,
            max_dispatches: facts.max_dispatches,
            parallel_dispatches: facts.parallel_dispatches,
            invocations: HashMap::new(),
            request_ids: HashSet::new(),
            executed_ids: ExecutedIds::default(),
            must_not_run_twice: facts.operations.iter().map(must_not_run_twice).collect(),
            unanswered: 0,
            dispatches: HashMap::new(),
            last_dispatch: 0,
            dispatch_deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            unreported_endings: VecDeque::new(),
            pods: HashMap::new(),
            addresses: HashMap::new(),
            last_pod: 0,
            leadership_enabled,
            unproposed_votes: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Casts a vote, or withdraws it if `verdict` is `None`. With leadership on it is proposed to the group
    /// first.
    pub(crate) fn request_vote(&mut self, build: Build, stage: u32, verdict: Option<Verdict>) {
        if self.leadership_enabled {
            return self.unproposed_votes.push_back((build, stage, verdict));
        }
        self.effects.push(Effect::CastVote { build, stage, verdict, lease: None });
    }

    /// Records that an invocation is answered, or that nobody waits for its answer any more, and withdraws its
    /// dispatches that no pod has heard of. Returns its number; `None` if it was answered before.
    pub(crate) fn mark_answered(&mut self, inv: &InvId) -> Option<InvocationNumber> {
        let invocation = self.invocations.get_mut(inv).filter(|invocation| !invocation.answered)?;
        invocation.answered = true;
        self.unanswered -= 1;
        let open = invocation.open_dispatches.iter();
        self.effects.extend(open.map(|(_, id)| Effect::WithdrawDispatch(*id)));
        Some(invocation.number)
    }

    /// Gives an invocation its final answer, unless it has one.
    pub(crate) fn answer(&mut self, inv: &InvId, answer: FinalAnswer) {
        let failed_check = self.invocations.get(inv).and_then(|invocation| invocation.failed_check);
        if let Some(number) = self.mark_answered(inv) {
            let answer = match (answer, failed_check) {
                (FinalAnswer::Terminated, Some(failed_check)) => {
                    FinalAnswer::Unverified { failed_check, retry_after: None }
                }
                (FinalAnswer::Throttled { retry_after }, Some(failed_check)) => {
                    FinalAnswer::Unverified { failed_check, retry_after: Some(retry_after) }
                }
                (answer, _) => answer,
            };
            self.effects.push(Effect::Answer(number, answer));
        }
        self.remove_if_finished(inv);
    }

    /// Removes an invocation that is answered, has no open dispatch and no ending left to report.
    pub(crate) fn remove_if_finished(&mut self, inv: &InvId) {
        let finished = |i: &PendingInvocation| i.answered && i.open_dispatches.is_empty();
        if self.invocations.get(inv).is_some_and(finished)
            && !self.unreported_endings.iter().any(|(ended, ..)| ended == inv)
        {
            let Some(invocation) = self.invocations.remove(inv) else { return };
            self.request_ids.remove(&invocation.request_id);
            if invocation.must_not_run_twice && invocation.may_have_run {
                self.executed_ids.insert(self.now, &invocation.request_id);
            }
        }
    }

    /// Removes an open dispatch. Outcomes that arrive for it later are ignored.
    pub(crate) fn remove_dispatch(&mut self, id: DispatchId) -> Option<OpenDispatch> {
        let dispatch = self.dispatches.remove(&id)?;
        self.dispatch_deadlines.remove(&(dispatch.deadline, id));
        if let Some(invocation) = self.invocations.get_mut(&dispatch.inv) {
            invocation.open_dispatches.retain(|(_, open)| *open != id);
        }
        Some(dispatch)
    }

    /// The earliest dispatch deadline or timer.
    pub(crate) fn next_due(&self) -> Tenths {
        let deadline = self.dispatch_deadlines.first().map_or(Tenths::NEVER, |(at, _)| *at);
        deadline.min(self.timers.first().map_or(Tenths::NEVER, |(at, _)| *at))
    }
}
