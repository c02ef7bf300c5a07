//! The event loop of the sidecar: passes inputs to the reducer, performs the effects that it returns and
//! wakes it when its next timer is due.
//!
//! It owns the channels and the socket tasks. All state about invocations, pods and builds is in the reducer.

use std::sync::Arc;

use anyhow::{Context, Result};
use stagepond::host::Build;
use stagepond_leadership::ids::{Seat, Tenths};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

use crate::config::SidecarConfig;
use crate::discovery;
use crate::frontend::Frontend;
use crate::leadership::{LeadershipController, LeadershipEvent};
use crate::lifecycle::State;
use crate::memory::{MemoryBudget, MemoryPlan};
use crate::messages::*;
use crate::peers::PeerSocket;
use crate::platform::{self, VoteRequest};
use crate::pods::PodClient;
use crate::reducer::{OptionalParts, Reducer};
use crate::request_head::{Operations, REQUEST_ID_HEADER};
use crate::state_files;
use crate::verification::{ResponseVerifier, VerificationEvent};

/// File descriptors reserved for everything but clients and pods: the listener, the datagram socket,
/// discovery, the platform's stream, votes, the runtime's own descriptors and a few that are being closed.
const RESERVED_SOCKETS: usize = 32;
/// Share of the other descriptors that clients get; pods get the rest. An invocation has one client and
/// mostly one dispatch in progress, but some clients connect without sending anything or stay connected after
/// their answer.
const CLIENT_SOCKET_SHARE: f64 = 0.58;
/// Capacity of the channel for inputs other than those of clients and pods; its senders wait while it is
/// full.
const CONTROL_QUEUE_CAPACITY: usize = 64;
/// How often the loop yields to the runtime before it collects inputs: a pod list passes through three tasks
/// from its socket to this loop, and each needs one turn.
const YIELDS_BEFORE_COLLECTING: usize = 3;

/// Runs the sidecar until it has shut down after SIGTERM or SIGINT. `reload_config` reads the configuration
/// again; it is called after a signal on `hangups`, and a limited number of times more while reading fails.
///
/// # Errors
///
/// Fails if a signal handler or socket can't be set up, or if the stored leadership state or the trusted TUF
/// metadata can't be used.
pub async fn serve(
    config: SidecarConfig, reload_config: impl Fn() -> Result<ReloadableConfig>, mut hangups: Signal,
) -> Result<()> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    // Inputs about single invocations come on an unbounded channel, all others on a bounded one.
    let (invocation_sender, mut invocation_inputs) = mpsc::unbounded_channel();
    let (control_sender, mut control_inputs) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    let names = Arc::new(config.names);
    let own_peer = config.facts.own_peer;

    let shared_sockets =
        config.transport.max_sockets - RESERVED_SOCKETS.min(config.transport.max_sockets / 2);
    let sockets_of_clients = (shared_sockets as f64 * CLIENT_SOCKET_SHARE) as usize;
    let sockets_of_pods = shared_sockets - sockets_of_clients;
    let plan = MemoryPlan::new(config.transport.memory_bytes, sockets_of_clients, sockets_of_pods);
    let memory = MemoryBudget::new(plan.body_bytes);
    let retry_safety = config.facts.operations.iter().map(|o| o.retry_safety);
    let operations = Operations(names.operations.iter().cloned().zip(retry_safety).collect());
    let frontend =
        Frontend::new(operations, plan.max_clients, memory.clone(), clock, invocation_sender.clone());
    let mut pods = PodClient::new(
        plan.max_pod_connections,
        config.transport,
        memory.clone(),
        clock,
        invocation_sender.clone(),
    );
    let peers = match config.peer_listen {
        Some(at) => Some(PeerSocket::bind(at, config.peers, config.peers_all).await?),
        None => None,
    };
    if let Some(peers) = &peers {
        tokio::spawn(peers.receive(own_peer, control_sender.clone()));
    }
    let snapshot_requested = Arc::new(Notify::new());
    let index = config.known_pods.index;
    let (discovery_address_sender, discovery_address) = watch::channel(config.addresses.discovery);
    tokio::spawn(discovery::watch(
        discovery_address,
        index,
        names.clone(),
        snapshot_requested.clone(),
        control_sender.clone(),
    ));
    let (vote_sender, vote_requests) = mpsc::unbounded_channel();
    let vote_timeout = to_std_duration(config.facts.vote_timeout);
    let (platform_address_sender, platform_address) = watch::channel(config.addresses.platform);
    tokio::spawn(platform::follow_rollout(platform_address.clone(), names.clone(), control_sender.clone()));
    tokio::spawn(platform::cast_votes(platform_address, vote_requests, control_sender.clone(), clock));
    let (raft_state_sender, raft_states_to_write) = mpsc::unbounded_channel();
    let leadership = match &config.operators.leadership {
        Some(leadership_config) => {
            let seat = Seat(own_peer.0 as u16);
            let persisted = leadership_config
                .state_file
                .as_deref()
                .map(|path| state_files::read_persistent_state(path, seat))
                .transpose()?
                .flatten();
            if let Some(path) = &leadership_config.state_file {
                tokio::spawn(state_files::write_persistent_states(
                    path.clone(),
                    raft_states_to_write,
                    control_sender.clone(),
                ));
            }
            Some(LeadershipController::new(clock.now(), own_peer, config.seed, leadership_config, persisted))
        }
        None => None,
    };
    let client_address = frontend.listen(config.listen)?;
    let datagram_address =
        peers.as_ref().and_then(PeerSocket::local_address).map_or("none".into(), |at| at.to_string());
    tracing::info!(
        name = config.name,
        clients = %client_address,
        datagrams = %datagram_address,
        clients_max = plan.max_clients,
        pod_connections_max = plan.max_pod_connections,
        body_bytes_max = plan.body_bytes,
        "listening"
    );
    config
        .unsupported
        .iter()
        .for_each(|feature| tracing::warn!("the settings have {feature}: not there on sockets"));

    let (trusted_sender, trusted_to_write) = mpsc::unbounded_channel();
    let verification = match config.operators.tuf {
        Some(tuf_config) => {
            if let Some(path) = tuf_config.state_file {
                tokio::spawn(state_files::write_trusted_metadata(path, trusted_to_write));
            }
            Some(ResponseVerifier::new(clock.now(), tuf_config.verification, config.seed).context("tuf")?)
        }
        None => None,
    };

    let (mut reducer, mut effects) = Reducer::new(
        clock.now(),
        config.facts,
        config.seed,
        config.addresses,
        config.known_pods,
        config.rollout_status,
        OptionalParts { leadership, verification },
    );
    memory.make_room_for_pods(reducer.known_pod_count());
    let mut batch = Vec::new();
    loop {
        for effect in effects.drain(..) {
            if tracing::enabled!(tracing::Level::DEBUG) {
                trace_effect(&effect);
            }
            match effect {
                Effect::Dispatch { id, number, request, to, timeout } => {
                    if frontend.is_client_present(number) {
                        pods.dispatch(id, request, to, timeout);
                    } else {
                        pods.report_unsent(id);
                    }
                }
                Effect::AbortDispatch(id) => pods.abort(id),
                Effect::WithdrawDispatch(id) => pods.withdraw(id),
                Effect::Answer(number, answer) => frontend.send_answer(number, answer),
                Effect::CloseIdleConnections(to) => pods.close_idle(to),
                Effect::SendDatagram { to, payload } => {
                    if let Some(peers) = &peers {
                        peers.send(to, &payload);
                    }
                }
                Effect::CastVote { build, stage, verdict, lease } => {
                    let deadline = tokio::time::Instant::now() + vote_timeout;
                    let _ = vote_sender.send(VoteRequest { build, stage, verdict, deadline, lease });
                }
                Effect::PersistRaftState { number, state } => drop(raft_state_sender.send((number, state))),
                Effect::PersistTrustedMetadata(metadata) => drop(trusted_sender.send(metadata)),
                Effect::LogVerificationEvent(event) => log_verification_event(event),
                Effect::LogLeadershipEvent(event) => log_leadership_event(event, clock.now()),
                Effect::RequestPodSnapshot => snapshot_requested.notify_one(),
                Effect::ReadConfig => {
                    batch.push(Input::ConfigRead(reload_config().map_err(|error| format!("{error:#}"))))
                }
                Effect::SetDiscoveryAddress(address) => drop(discovery_address_sender.send_replace(address)),
                Effect::SetPlatformAddress(address) => drop(platform_address_sender.send_replace(address)),
                Effect::RefuseUnfinishedRequests => frontend.refuse_unfinished_requests(),
                Effect::CloseListener => frontend.close_listener(),
                Effect::Log(text) => tracing::info!("{text}"),
                Effect::EnterState(state) => {
                    tracing::info!(?state, "phase");
                    match state {
                        State::Starting => {}
                        State::Ready => frontend.set_ready(true),
                        State::Leaving => {
                            frontend.set_ready(false);
                            frontend.begin_leaving();
                        }
                        State::Draining => {}
                        State::Closing => frontend.close_idle_connections(),
                        State::Stopped => return Ok(()),
                    }
                }
            }
        }
        let due = clock.to_instant(reducer.next_due()).into();
        tokio::select! {
            biased;
            () = std::future::ready(()), if !batch.is_empty() => {}
            _ = hangups.recv() => batch.push(Input::ReloadRequested),
            _ = terminate.recv() => batch.push(Input::ShutdownRequested),
            _ = interrupt.recv() => batch.push(Input::ShutdownRequested),
            Some(input) = control_inputs.recv() => batch.push(input),
            Some(input) = invocation_inputs.recv() => batch.push(input),
            () = tokio::time::sleep_until(due) => {}
        }
        // After this process was paused all inputs are waiting at once. Pod lists and other control inputs
        // are applied before those of invocations, which must not be dispatched by an outdated list.
        for _ in 0..YIELDS_BEFORE_COLLECTING {
            tokio::task::yield_now().await;
        }
        let received = batch.len();
        while let Ok(input) = control_inputs.try_recv() {
            batch.push(input);
        }
        batch.rotate_left(received);
        while let Ok(input) = invocation_inputs.try_recv() {
            batch.push(input);
        }
        batch.push(Input::Tick);
        for input in batch.drain(..) {
            if let Input::DispatchEnded(id, _) = &input {
                pods.forget(*id);
            }
            if tracing::enabled!(tracing::Level::DEBUG) {
                trace_input(&input);
            }
            let is_pod_list = matches!(input, Input::PodListReceived(_));
            effects.extend(reducer.apply(clock.now(), input));
            if is_pod_list {
                memory.make_room_for_pods(reducer.known_pod_count());
            }
        }
    }
}

/// Logs an input that concerns an invocation or the rollout, at debug level. Together with [`trace_effect`] it
/// shows the path of an invocation through this sidecar by its id, its number (`ticket`) and its dispatches.
fn trace_input(input: &Input) {
    match input {
        Input::InvocationReceived { number, request_id, op, deadline, .. } => {
            tracing::debug!(
                event = "arrived",
                id = %request_id.0,
                ticket = number.0,
                op = op.0,
                until = deadline.0,
                "inv"
            );
        }
        Input::RolloutStatusReceived(status) => trace_rollout_status("stream", status),
        Input::VoteAnswered(Ok(status)) => trace_rollout_status("vote", status),
        Input::ClientDisconnected(number) => tracing::debug!(event = "left", ticket = number.0, "inv"),
        Input::ClientHidden(number) => tracing::debug!(event = "hidden", ticket = number.0, "inv"),
        Input::DispatchEnded(id, DispatchOutcome { ending, ended_at, in_flight, .. }) => {
            tracing::debug!(event = "ended", dispatch = id.0, ?ending, at = ended_at.0, in_flight, "inv");
        }
        _ => {}
    }
}

/// Logs what the platform reported, and whether on its stream or in the answer to a vote.
fn trace_rollout_status(source: &'static str, status: &RolloutStatus) {
    let RolloutStatus { build, stage, phase, cap, age } = status;
    let (build, age) = (build.0, age.0);
    tracing::debug!(event = "rollout_status", source, build, stage, ?phase, cap, age, "rollout");
}

/// Logs an effect that concerns an invocation, at debug level.
fn trace_effect(effect: &Effect) {
    match effect {
        Effect::Dispatch { id, number, request, to, timeout } => {
            let request_id = request.headers.get(REQUEST_ID_HEADER);
            let request_id = request_id.and_then(|id| id.to_str().ok()).unwrap_or_default();
            let (ticket, wait) = (number.0, timeout.0);
            tracing::debug!(event = "dispatch", id = request_id, ticket, dispatch = id.0, %to, wait, "inv");
        }
        Effect::AbortDispatch(id) => tracing::debug!(event = "given_up", dispatch = id.0, "inv"),
        Effect::WithdrawDispatch(id) => tracing::debug!(event = "withdrawn", dispatch = id.0, "inv"),
        Effect::Answer(number, answer) => {
            let answer = match answer {
                FinalAnswer::Succeeded(_) => "succeeded",
                FinalAnswer::Throttled { .. } => "throttled",
                FinalAnswer::Terminated => "terminated",
                FinalAnswer::RequestIdInUse => "id_taken",
                FinalAnswer::MayHaveRun => "may_have_run",
                FinalAnswer::Unverified { .. } => "unverified",
            };
            tracing::debug!(event = "answer", ticket = number.0, answer, "inv");
        }
        _ => {}
    }
}

/// Logs a leadership event. Programs read the event names and fields; `docs/leadership.md` lists them.
fn log_leadership_event(event: LeadershipEvent, now: Tenths) {
    let at = now.0;
    match event {
        LeadershipEvent::BecameLeader { term, until } => {
            tracing::info!(event = "leads", at, term = term.0, until = until.0, "became leader")
        }
        LeadershipEvent::SteppedDown { term, why } => {
            tracing::info!(event = "stepped_down", at, term = term.0, why, "stepped down as leader")
        }
        LeadershipEvent::CommandCommitted { term, number, holder, decree } => {
            tracing::info!(
                event = "in_force",
                term = term.0,
                number = number.0,
                holder = holder.0,
                decree,
                "log entry committed"
            );
        }
        LeadershipEvent::SnapshotInstalled { number } => {
            tracing::info!(event = "caught_up", number = number.0, "snapshot of the log installed")
        }
        LeadershipEvent::TrialLimitsRead { number, frozen, held } => {
            let builds = |builds: Vec<Build>| builds.into_iter().map(|build| build.0).collect::<Vec<_>>();
            let (frozen, held) = (builds(frozen), builds(held));
            tracing::info!(
                event = "trial_limits",
                number = number.0,
                ?frozen,
                ?held,
                "limits on trials read from the log"
            )
        }
        LeadershipEvent::ApprovalHeldBack { build, stage } => {
            tracing::info!(event = "vote_held", build = build.0, stage, "no approval, the build is frozen")
        }
        LeadershipEvent::Bootstrapped { term } => {
            tracing::warn!(event = "founded", term = term.0, "new era bootstrapped by the whole pool")
        }
        LeadershipEvent::CommandRejected { decree, why } => {
            tracing::debug!(event = "refused", decree, why, "command rejected")
        }
        LeadershipEvent::DatagramsDropped { counts } => {
            tracing::warn!(event = "datagrams_dropped", counts, "leadership datagrams dropped")
        }
        LeadershipEvent::MemberHealthChanged { seat, health } => {
            tracing::info!(event = "member", seat = seat.0, ?health, "health of a member changed")
        }
    }
}

/// Logs an event of the verification of signed content; `docs/tuf.md` lists the events.
fn log_verification_event(event: VerificationEvent) {
    match event {
        VerificationEvent::MetadataUpdated { versions } => {
            tracing::info!(event = "trusted", ?versions, "new metadata trusted")
        }
        VerificationEvent::MetadataRefused { kind, why, again_in, trusted, usable_targets, left_out } => {
            tracing::warn!(
                event = "metadata_refused",
                kind,
                again_in_ms = again_in.0 / 10,
                ?trusted,
                usable_targets,
                left_out,
                "{why}"
            );
        }
        VerificationEvent::TargetFound { path, role, parent, checked_for } => {
            tracing::debug!(event = "target_found", path, role, parent, ?checked_for, "target found")
        }
        VerificationEvent::UsingExpiredMetadata { since } => {
            tracing::error!(
                event = "goes_on_ended",
                since,
                "the trusted metadata have expired and are still in use"
            );
        }
    }
}
