//! The reducer: the only place where state changes. Inputs go in, effects come out.
//!
//! It owns the decision module ([`Balancer`]) and, in [`ReducerHost`], the invocations, the dispatches and all
//! timers. It reads no clock, touches no socket and leaves every decision that the module can make
//! to the module: equal inputs give equal effects.
//!
//! Towards the module it behaves as the simulator's line protocol does:
//!
//! - Dispatches of an invocation are numbered in order. Each ends exactly once, at the client's time limit at
//!   the latest, and its outcome is reported even if the invocation already has its final answer.
//! - The first success is the final answer.
//! - A dispatch that cannot be sent ends as [`Ending::Moot`].

use std::collections::HashSet;
use std::sync::Arc;

use stagepond::balance::Balancer;
use stagepond::host::*;

use crate::leadership::{is_leadership_datagram, LeadershipController, StepOutcome};
use crate::lifecycle::{ConfigRetry, Lifecycle, State};
use crate::messages::*;
use crate::reducer_host::{
    KnownPod, OpenDispatch, PendingInvocation, ProcessIdentity, ReducerHost, GONE_POD_RETENTION,
};
use crate::rollout_order::RolloutOrder;
use crate::verification::{CheckResult, ResponseVerifier, METADATA_FETCH_TIMEOUT};

/// Limit on the metadata files requested while one input is applied. There is more than one only if a fetch
/// is answered at once, without waiting for a dispatch.
const MAX_FETCHES_PER_INPUT: usize = 4;

/// Parts of the reducer that the operators' file enables.
#[derive(Default)]
pub struct OptionalParts {
    /// Leadership: only a leader's votes are cast.
    pub leadership: Option<LeadershipController>,
    /// Verification of the responses of one operation against signed metadata.
    pub verification: Option<ResponseVerifier>,
}

/// The sidecar's state machine; see the module documentation.
pub struct Reducer {
    balancer: Balancer,
    host: ReducerHost,
    lifecycle: Lifecycle,
    config_retry: ConfigRetry,
    leadership: Option<LeadershipController>,
    rollout_order: RolloutOrder,
    verification: Option<ResponseVerifier>,
    /// Responses whose check waits for metadata. Their dispatches still end at their own deadlines.
    unverified_outcomes: Vec<(DispatchId, DispatchOutcome)>,
    fetch_count: u64,
    addresses: ServiceAddresses,
    clients_connected: bool,
}

fn inv_id(number: InvocationNumber) -> InvId {
    InvId(SmolStr::from(number.0.to_string()))
}

fn answers_internal_invocation(effect: &Effect) -> bool {
    matches!(effect, Effect::Answer(number, _) if number.is_internal())
}

impl Reducer {
    /// Starts the module with what the configuration holds, in the order in which the simulator reports it.
    /// Returns the effects of the start with the reducer.
    pub fn new(
        now: Tenths, facts: Facts, seed: u64, addresses: ServiceAddresses, known_pods: PodList,
        status: Option<RolloutStatus>, parts: OptionalParts,
    ) -> (Reducer, Vec<Effect>) {
        let OptionalParts { leadership, verification } = parts;
        let host = ReducerHost::new(now, &facts, leadership.is_some());
        let longest_time_limit = facts.longest_time_limit;
        let mut reducer = Reducer {
            balancer: Balancer::new(facts, seed),
            host,
            lifecycle: Lifecycle::new(now, longest_time_limit),
            config_retry: ConfigRetry::default(),
            leadership,
            rollout_order: RolloutOrder::default(),
            verification,
            unverified_outcomes: Vec::new(),
            fetch_count: 0,
            addresses,
            clients_connected: false,
        };
        reducer.host.effects.push(Effect::EnterState(State::Starting));
        reducer.balancer.start(&mut reducer.host);
        if reducer.leadership.is_some() {
            // Without a leader no sidecar may vote.
            reducer.balancer.on_leadership(&mut reducer.host, Vec::new(), false);
            reducer.step_leadership(|leadership, _| leadership.start());
        }
        reducer.on_pod_list(known_pods);
        if let Some(status) = status {
            reducer.on_configured_status(status);
        }
        reducer.drain_queues();
        let effects = std::mem::take(&mut reducer.host.effects);
        // Answers to the reducer's own invocations are handled with the first input.
        (reducer, effects)
    }

    /// The time by which [`Input::Tick`] has to be applied.
    pub fn next_due(&self) -> Tenths {
        let leadership = self.leadership.as_ref().map_or(Tenths::NEVER, LeadershipController::next_due);
        let verification = self.verification.as_ref().map_or(Tenths::NEVER, ResponseVerifier::next_due);
        let own = self.lifecycle.next_due().min(self.config_retry.next_due());
        self.host.next_due().min(own).min(leadership).min(verification)
    }

    /// Applies one input at the time `now` and returns the effects. Time never runs backwards: an earlier
    /// `now` counts as that of the previous input.
    pub fn apply(&mut self, now: Tenths, input: Input) -> Vec<Effect> {
        self.host.now = self.host.now.max(now);
        match input {
            Input::InvocationReceived { number, request_id, request, op, deadline } => {
                self.on_invocation(number, request_id, request, op, deadline);
            }
            Input::ClientDisconnected(number) => self.on_client_disconnected(&inv_id(number)),
            Input::ClientHidden(number) => self.answer_and_give_up(&inv_id(number)),
            Input::DispatchEnded(id, outcome) => self.on_dispatch_ended(id, outcome),
            Input::PodListReceived(list) => {
                self.on_pod_list(list);
                self.update_readiness(true);
            }
            Input::DiscoveryDisconnected => self.balancer.on_pod_list_failure(&mut self.host),
            Input::RolloutStatusReceived(status) => {
                self.rollout_order.on_news(self.host.now, status);
                self.on_rollout_status(Ok(status), false);
            }
            Input::VoteAnswered(answer) => {
                let latest = answer.map(|status| self.rollout_order.latest(self.host.now, status));
                self.on_rollout_status(latest, true);
            }
            Input::AnswerDisputed { pod, op, age } => {
                if let Some(&KnownPod { id, .. }) = self.host.pods.get(&pod) {
                    self.balancer.on_objection(&mut self.host, id, op, age);
                }
            }
            Input::PeerDatagram { from: _, payload }
                if self.leadership.is_some() && is_leadership_datagram(&payload) =>
            {
                self.step_leadership(|leadership, now| leadership.on_datagram(now, &payload));
            }
            Input::PeerDatagram { from, payload } => {
                self.balancer.on_peer_message(&mut self.host, from, &payload)
            }
            Input::RaftStatePersisted(number) => {
                self.step_leadership(|leadership, now| leadership.on_state_persisted(now, number));
            }
            Input::Tick => self.on_tick(),
            Input::ReloadRequested => {
                self.config_retry.start();
                self.host.effects.push(Effect::ReadConfig);
            }
            Input::ConfigRead(result) => self.on_config_read(result),
            Input::ShutdownRequested => {
                self.step_leadership(|leadership, now| leadership.leave(now));
                let state = self.lifecycle.begin_shutdown(self.host.now);
                // Clients count as connected until the frontend reports that none is.
                self.clients_connected |= state.is_some();
                self.push_state(state);
            }
            Input::ListenerClosed => {
                let state = self.lifecycle.listener_closed(self.host.now);
                self.push_state(state);
            }
            Input::AllClientsDisconnected => self.clients_connected = false,
        }
        self.drain_queues();
        if self.verification.is_some() {
            self.run_verification();
        }
        std::mem::take(&mut self.host.effects)
    }

    /// Starts due metadata fetches and checks the responses that waited for metadata. A fetch is an
    /// invocation of the reducer's own, subject to the same module and limits as a client's.
    fn run_verification(&mut self) {
        for _ in 0..MAX_FETCHES_PER_INPUT {
            let now = self.host.now;
            let Some(verification) = &mut self.verification else { return };
            let mut next = None;
            let mut effects = std::mem::take(&mut self.host.effects);
            effects.retain(|effect| match effect {
                Effect::Answer(number, answer) if number.is_internal() => {
                    let file = match answer {
                        FinalAnswer::Succeeded(response) if !response.body.is_empty() => {
                            Some(&response.body[..])
                        }
                        _ => None,
                    };
                    next = verification.on_fetch_result(now, file).or(next.take());
                    false
                }
                _ => true,
            });
            let next = next.or_else(|| verification.next_fetch(now));
            effects.extend(verification.events.drain(..).map(Effect::LogVerificationEvent));
            effects.extend(verification.state_to_store.take().map(Effect::PersistTrustedMetadata));
            self.host.effects = effects;
            let waiting = std::mem::take(&mut self.unverified_outcomes);
            let rechecked = !waiting.is_empty();
            for (id, outcome) in waiting {
                if self.host.dispatches.contains_key(&id) {
                    self.on_dispatch_ended(id, outcome);
                }
            }
            if let Some(path) = &next {
                self.fetch_metadata(path);
            }
            if rechecked || next.is_some() {
                self.drain_queues();
            }
            if !self.host.effects.iter().any(answers_internal_invocation) {
                return;
            }
        }
    }

    /// Starts an invocation that fetches the metadata file at `path`.
    fn fetch_metadata(&mut self, path: &str) {
        let Some(op) = self.verification.as_ref().map(ResponseVerifier::operation) else { return };
        let Ok(target) = path.parse() else { return };
        self.fetch_count += 1;
        let request_id = format!("metadata-{}-{}", self.host.now.0, self.fetch_count);
        let mut headers = hyper::HeaderMap::new();
        if let Ok(value) = request_id.parse() {
            headers.insert("x-request-id", value);
        }
        let request =
            ForwardedRequest { method: hyper::Method::GET, target, headers, body: Default::default() };
        let number = InvocationNumber(InvocationNumber::FIRST_INTERNAL.0 + self.fetch_count);
        let deadline = self.host.now + METADATA_FETCH_TIMEOUT;
        self.on_invocation(number, RequestId(request_id.into()), Arc::new(request), op, deadline);
    }

    /// Metadata verification, if it is on.
    pub fn verification(&self) -> Option<&ResponseVerifier> {
        self.verification.as_ref()
    }

    /// Runs one step of leadership, if it is on, and reports its changes to the module.
    fn step_leadership(&mut self, step: impl FnOnce(&mut LeadershipController, Tenths) -> StepOutcome) {
        let now = self.host.now;
        let Some(leadership) = &mut self.leadership else { return };
        let StepOutcome { effects, leadership_change, share_changed } = step(leadership, now);
        self.host.effects.extend(effects);
        let status = if share_changed { leadership.current_status(now) } else { None };
        if let Some((voters, leads)) = leadership_change {
            self.balancer.on_leadership(&mut self.host, voters, leads);
        }
        if let Some(status) = status {
            self.report_rollout_status(Ok(status), false);
        }
    }

    /// Leadership, if it is on.
    pub fn leadership(&self) -> Option<&LeadershipController> {
        self.leadership.as_ref()
    }

    fn push_state(&mut self, state: Option<State>) {
        self.host.effects.extend(state.map(Effect::EnterState));
    }

    fn update_readiness(&mut self, fresh_list: bool) {
        let pods_known = !self.host.pods.is_empty();
        let state = self.lifecycle.try_become_ready(self.host.now, pods_known, fresh_list);
        self.push_state(state);
    }

    /// Reports queued endings to the module and queued votes to leadership until both queues are empty;
    /// either may add to them.
    fn drain_queues(&mut self) {
        loop {
            if let Some((inv, nth, ending)) = self.host.unreported_endings.pop_front() {
                self.report_outcome(&inv, nth, Tenths(0), ending, None);
            } else if let Some((build, stage, verdict)) = self.host.unproposed_votes.pop_front() {
                self.step_leadership(|leadership, now| leadership.propose_vote(now, build, stage, verdict));
            } else {
                break;
            }
        }
        let state = self.lifecycle.try_stop(self.host.now, self.host.unanswered, self.clients_connected);
        self.push_state(state);
    }

    fn report_outcome(
        &mut self, inv: &InvId, nth: usize, took: Tenths, ending: Ending, in_flight: Option<f64>,
    ) {
        let invocation = self.host.invocations.get_mut(inv);
        let answered = invocation.is_none_or(|invocation| {
            invocation.may_have_run |= !ending.proves_not_executed();
            invocation.answered
        });
        self.balancer.on_outcome(&mut self.host, inv, answered, nth, took, ending, in_flight);
        self.host.remove_if_finished(inv);
    }

    fn on_invocation(
        &mut self, number: InvocationNumber, request_id: RequestId, request: Arc<ForwardedRequest>, op: Op,
        deadline: Tenths,
    ) {
        let now = self.host.now;
        let must_not_run_twice = self.host.must_not_run_twice.get(op.0).copied().unwrap_or(true);
        if must_not_run_twice && self.host.executed_ids.contains(now, &request_id) {
            return self.host.effects.push(Effect::Answer(number, FinalAnswer::MayHaveRun));
        }
        if !self.host.request_ids.insert(request_id.clone()) {
            // A pod that got both invocations would mistake one for the other.
            return self.host.effects.push(Effect::Answer(number, FinalAnswer::RequestIdInUse));
        }
        let inv = inv_id(number);
        // Of an invocation that comes during the shutdown, nothing may be left when the process is killed.
        let deadline = deadline.min(self.lifecycle.answers_due_at());
        let mut target = None;
        if let Some(verification) = self.verification.as_mut().filter(|_| !number.is_internal()) {
            target = verification.target_path(op, request.target.path()).map(str::to_string);
            target.iter().for_each(|path| verification.request_target(self.host.now, path));
        }
        let invocation = PendingInvocation {
            number,
            request_id,
            request,
            deadline,
            dispatch_count: 0,
            open_dispatches: Vec::new(),
            answered: false,
            must_not_run_twice,
            may_have_run: false,
            target,
            failed_check: None,
        };
        self.host.invocations.insert(inv.clone(), invocation);
        self.host.unanswered += 1;
        self.balancer.on_invocation(&mut self.host, inv, None, op, deadline);
    }

    fn on_client_disconnected(&mut self, inv: &InvId) {
        if self.host.mark_answered(inv).is_none() {
            return;
        }
        self.balancer.on_abort(&mut self.host, inv);
        self.host.remove_if_finished(inv);
    }

    /// Checks the response of a verified operation. One that does not match the signed metadata becomes an
    /// error of an invocation that may have run. Returns `None` while the check waits for metadata.
    fn verify_outcome(&mut self, id: DispatchId, mut outcome: DispatchOutcome) -> Option<DispatchOutcome> {
        let Some(verification) = &mut self.verification else { return Some(outcome) };
        let inv = self.host.dispatches.get(&id).map(|dispatch| &dispatch.inv);
        let invocation = inv.and_then(|inv| self.host.invocations.get_mut(inv));
        let Some(invocation) = invocation else { return Some(outcome) };
        if invocation.number.is_internal() {
            // "No such metadata file" is a valid answer and no fault of the pod.
            if outcome.not_found {
                outcome.ending = Ending::Succeeded;
                outcome.response = ForwardedResponse::default();
            }
            return Some(outcome);
        }
        let Some(path) = invocation.target.as_deref().filter(|_| outcome.ending == Ending::Succeeded) else {
            return Some(outcome);
        };
        match verification.check_response(self.host.now, path, &outcome.response.body) {
            CheckResult::Valid => {}
            CheckResult::Invalid(failed_check) => {
                invocation.failed_check = Some(failed_check);
                outcome.ending = Ending::Error;
                outcome.response = ForwardedResponse::default();
            }
            CheckResult::Pending => {
                self.unverified_outcomes.push((id, outcome));
                return None;
            }
        }
        Some(outcome)
    }

    fn on_dispatch_ended(&mut self, id: DispatchId, outcome: DispatchOutcome) {
        let Some(outcome) = self.verify_outcome(id, outcome) else { return };
        let Some(OpenDispatch { inv, nth, started_at, .. }) = self.host.remove_dispatch(id) else { return };
        let DispatchOutcome { ending, ended_at, in_flight, response, .. } = outcome;
        if ending == Ending::Succeeded {
            // The answer goes out before any effect of the module's reaction to the outcome.
            if let Some(number) = self.host.mark_answered(&inv) {
                self.host.effects.push(Effect::Answer(number, FinalAnswer::Succeeded(response)));
            }
        }
        let took = Tenths((ended_at - started_at).0.max(0));
        self.report_outcome(&inv, nth, took, ending, in_flight);
    }

    /// Applies a configuration that was read again. What has been learnt and what is in progress is kept;
    /// only the addresses of discovery and the platform and the leadership settings change.
    fn on_config_read(&mut self, result: Result<ReloadableConfig, String>) {
        let ReloadableConfig { addresses, leadership } = match result {
            Ok(config) => config,
            Err(error) => {
                let will_retry = self.config_retry.record_failure(self.host.now);
                let next_step =
                    if will_retry { "is read again shortly" } else { "is given up, the old one stays" };
                return self.host.log(&format!("the new configuration {next_step}: {error}"));
            }
        };
        self.config_retry.finish();
        if let Some(config) = leadership {
            self.step_leadership(|leadership, now| leadership.reload_config(now, &config));
        }
        let old = std::mem::replace(&mut self.addresses, addresses);
        self.host.log(&format!(
            "the new configuration is in force: discovery {}, platform {:?}; before: discovery {}, platform {:?}",
            addresses.discovery, addresses.platform, old.discovery, old.platform
        ));
        if old.discovery != addresses.discovery {
            self.host.effects.push(Effect::SetDiscoveryAddress(addresses.discovery));
        }
        if old.platform != addresses.platform {
            self.host.effects.push(Effect::SetPlatformAddress(addresses.platform));
        }
    }

    fn on_tick(&mut self) {
        let now = self.host.now;
        // Leadership comes first: an expired lease must not permit anything that follows.
        self.step_leadership(|leadership, now| leadership.tick(now));
        if self.config_retry.take_due(now) {
            self.host.effects.push(Effect::ReadConfig);
        }
        let due = |host: &ReducerHost| host.dispatch_deadlines.first().copied().filter(|(at, _)| *at <= now);
        while let Some((deadline, id)) = due(&self.host) {
            let Some(OpenDispatch { inv, nth, started_at, .. }) = self.host.remove_dispatch(id) else {
                break;
            };
            // The connection is closed before the module learns of the timeout, and so before it dispatches
            // again.
            self.host.effects.push(Effect::AbortDispatch(id));
            self.report_outcome(&inv, nth, deadline - started_at, Ending::TimedOut, None);
        }
        // Only timers that are due now: each may set another one.
        let later = self.host.timers.split_off(&(now + Tenths(1), 0));
        for (_, token) in std::mem::replace(&mut self.host.timers, later) {
            self.balancer.on_timer(&mut self.host, token);
        }
        self.update_readiness(false);
        let state = self.lifecycle.try_close_idle(now);
        self.push_state(state);
        if self.lifecycle.take_answers_due(now) {
            self.host.effects.push(Effect::RefuseUnfinishedRequests);
            self.answer_all();
        }
        if self.lifecycle.take_listener_close(now) {
            self.host.effects.push(Effect::CloseListener);
        }
    }

    /// Answers every invocation that is still unanswered, in the order of their numbers, because the kill is
    /// near.
    fn answer_all(&mut self) {
        let invocations = self.host.invocations.iter().filter(|(_, invocation)| !invocation.answered);
        let mut unanswered: Vec<_> = invocations.map(|(inv, i)| (i.number, inv.clone())).collect();
        unanswered.sort_by_key(|(number, _)| *number);
        for (_, inv) in unanswered {
            self.answer_and_give_up(&inv);
        }
    }

    /// Answers an invocation that is to be dispatched no more. Only if nothing was dispatched is its client told
    /// that a retry is harmless.
    fn answer_and_give_up(&mut self, inv: &InvId) {
        let pending = self.host.invocations.get(inv).filter(|invocation| !invocation.answered);
        let Some(invocation) = pending else { return };
        let answer = match invocation.dispatch_count {
            0 => FinalAnswer::Throttled { retry_after: Tenths(0) },
            _ => FinalAnswer::Terminated,
        };
        self.host.effects.push(Effect::Answer(invocation.number, answer));
        self.on_client_disconnected(inv);
    }

    fn on_pod_list(&mut self, list: PodList) {
        let now = self.host.now;
        self.balancer.begin_pod_list(list.is_snapshot);
        if list.is_snapshot {
            let listed: HashSet<_> = list.pods.iter().map(|entry| &entry.name).collect();
            let is_missing =
                |(name, pod): &(&PodName, &mut KnownPod)| !listed.contains(*name) && pod.gone_since.is_none();
            let mut missing: Vec<_> =
                self.host.pods.iter_mut().filter(is_missing).map(|(_, pod)| pod).collect();
            // The order of a hash map differs between runs.
            missing.sort_by_key(|pod| pod.id);
            for pod in missing {
                pod.gone_since = Some(now);
                self.host.effects.push(Effect::CloseIdleConnections(pod.process.address));
            }
        }
        for entry in list.pods {
            let process =
                ProcessIdentity { address: entry.address, started_at: entry.started_at, build: entry.build };
            let last_pod = &mut self.host.last_pod;
            let pod = self.host.pods.entry(entry.name).or_insert_with(|| {
                *last_pod += 1;
                KnownPod { id: PodId(*last_pod), process, gone_since: None }
            });
            let gone = entry.availability == Availability::Gone;
            pod.gone_since = gone.then(|| pod.gone_since.unwrap_or(now));
            // Open connections lead to the old process or the old address and are of no further use.
            let old = std::mem::replace(&mut pod.process, process);
            if old != process || entry.availability != Availability::Up {
                self.host.effects.push(Effect::CloseIdleConnections(old.address));
            }
            self.host.addresses.insert(pod.id, entry.address);
            self.balancer.on_pod(
                pod.id,
                entry.machine_kind,
                entry.zone,
                entry.availability,
                entry.cell,
                entry.weight,
                entry.started_at,
                entry.build,
            );
        }
        self.balancer.end_pod_list(&mut self.host);
        let addresses = &mut self.host.addresses;
        self.host.pods.retain(|_, pod| {
            let retained = pod.gone_since.is_none_or(|since| now < since + GONE_POD_RETENTION);
            retained || addresses.remove(&pod.id).is_none()
        });
    }

    /// Handles the rollout status that the configuration had at the start.
    fn on_configured_status(&mut self, status: RolloutStatus) {
        let now = self.host.now;
        let allowed_status = match &mut self.leadership {
            Some(leadership) => leadership.on_configured_status(now, status),
            None => status,
        };
        self.report_rollout_status(Ok(allowed_status), false);
    }

    /// Handles a rollout status from the platform: an event of its stream or, if `answers_vote`, its answer
    /// to a vote. Leadership, if it is on, may reduce the share that the module receives.
    fn on_rollout_status(&mut self, result: Result<RolloutStatus, Ending>, answers_vote: bool) {
        let result = match (result, &mut self.leadership) {
            (Ok(status), Some(leadership)) => {
                let (allowed_status, step) = leadership.on_rollout_status(self.host.now, status);
                self.step_leadership(|_, _| step);
                Ok(allowed_status)
            }
            (result, _) => result,
        };
        self.report_rollout_status(result, answers_vote);
    }

    /// Passes a rollout status to the module, or how a vote ended without one.
    fn report_rollout_status(&mut self, result: Result<RolloutStatus, Ending>, answers_vote: bool) {
        let unknown =
            RolloutStatus { build: Build(0), stage: 0, phase: Phase::Trial, cap: 0.0, age: Tenths(0) };
        let (status, ending) = match result {
            Ok(status) => (status, Ending::Succeeded),
            Err(ending) => (unknown, ending),
        };
        let RolloutStatus { build, stage, phase, cap, age } = status;
        self.balancer.on_stage(&mut self.host, build, stage, age, phase, answers_vote, cap, ending);
    }

    /// Number of pods that are still remembered.
    pub fn known_pod_count(&self) -> usize {
        self.host.pods.len().max(self.host.addresses.len())
    }

    /// Open dispatches in the order of their numbers.
    #[cfg(test)]
    pub fn open_dispatch_ids(&self) -> Vec<DispatchId> {
        let mut ids: Vec<_> = self.host.dispatches.keys().copied().collect();
        ids.sort();
        ids
    }

    /// Number of pending invocations and of open dispatches.
    #[cfg(test)]
    pub fn pending_counts(&self) -> (usize, usize) {
        (self.host.invocations.len(), self.host.dispatches.len())
    }
}
