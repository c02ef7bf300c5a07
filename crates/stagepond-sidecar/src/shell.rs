//! The one loop: takes inputs, gives them to the reducer, carries out the effects it asks for, keeps its
//! next due time. It owns the channels and the parts on sockets; it must never hold state of its own about
//! invocations, pods or builds.

use std::sync::Arc;

use anyhow::{Context, Result};
use stagepond_leadership::ids::{Seat, Tenths};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

use crate::discovery;
use crate::front::{self, Front, Operations};
use crate::keeping;
use crate::launch::Launch;
use crate::leading::{Leading, Note};
use crate::lifecycle::State;
use crate::messages::*;
use crate::peers::Peers;
use crate::platform::{self, Vote};
use crate::pods::PodClient;
use crate::reducer::{OptionalParts, Reducer};
use crate::verifying::{Told, Verifying};

/// Descriptors for all but clients and pods: listener, datagrams, discovery, platform, votes, the runtime's
/// own, and a few on their way out.
const SPARE_SOCKETS: usize = 32;
/// An invocation has one client and mostly one dispatch out; but clients also connect that have nothing to
/// send, or have been answered and stay.
const FRONT_SHARE: f64 = 0.58;
/// What all clients may hold together, with half a message each.
const FRONT_MEMORY: f64 = 0.4;
/// News that wait for the loop; beyond it their senders wait.
const NEWS_QUEUE: usize = 64;
/// A list passes three tasks from its socket to this loop: one turn of the runtime for each.
const TURNS: usize = 3;

pub async fn serve(
    launch: Launch, reread: impl Fn() -> Result<ReloadableConfig>, mut hangups: Signal,
) -> Result<()> {
    let clock = Clock::start();
    let mut leave = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    let (inputs, mut taken) = mpsc::unbounded_channel();
    let (news, mut told) = mpsc::channel(NEWS_QUEUE);
    let (names, me) = (Arc::new(launch.names), launch.facts.own_peer);

    let shared = launch.transport.sockets - SPARE_SOCKETS.min(launch.transport.sockets / 2);
    let clients_max = (shared as f64 * FRONT_SHARE) as usize;
    let held = (launch.transport.memory as f64 * FRONT_MEMORY) as usize / front::CONNECTION_BYTES;
    let clients_max = clients_max.min(held);
    let repeats = launch.facts.operations.iter().map(|o| o.retry_safety);
    let operations = Operations(names.operations.iter().cloned().zip(repeats).collect());
    let front = Front::new(operations, clients_max, clock, inputs.clone());
    let mut pods = PodClient::new(shared - clients_max, launch.transport, clock, inputs.clone());
    let peers = match launch.peer_listen {
        Some(at) => Some(Peers::bind(at, launch.peers, launch.peers_all).await?),
        None => None,
    };
    if let Some(peers) = &peers {
        tokio::spawn(peers.listen(me, news.clone()));
    }
    let whole = Arc::new(Notify::new());
    let index = launch.known.index;
    let (discovery, place) = watch::channel(launch.places.discovery);
    tokio::spawn(discovery::watch(place, index, names.clone(), whole.clone(), news.clone()));
    let (votes, wanted) = mpsc::unbounded_channel();
    let vote_wait = to_std_duration(launch.facts.vote_timeout);
    let (platform, place) = watch::channel(launch.places.platform);
    tokio::spawn(platform::listen(place.clone(), names.clone(), news.clone()));
    tokio::spawn(platform::votes(place, wanted, news.clone(), clock));
    let (keep, kept) = mpsc::unbounded_channel();
    let leading = match &launch.operators.leadership {
        Some(asked) => {
            let seat = Seat(me.0 as u16);
            let promises =
                asked.state.as_deref().map(|path| keeping::read(path, seat)).transpose()?.flatten();
            if let Some(path) = &asked.state {
                tokio::spawn(keeping::keep(path.clone(), kept, news.clone()));
            }
            Some(Leading::new(clock.now(), me, launch.seed, asked, promises))
        }
        None => None,
    };
    let at = front.listen(launch.listen)?;
    let datagrams = peers.as_ref().and_then(Peers::address).map_or("none".into(), |at| at.to_string());
    tracing::info!(name = launch.name, clients = %at, %datagrams, clients_max, "listening");
    launch.missing.iter().for_each(|what| tracing::warn!("the settings have {what}: not there on sockets"));

    let (trust, trusted) = mpsc::unbounded_channel();
    let verifying = match launch.operators.verified {
        Some(asked) => {
            if let Some(path) = asked.state {
                tokio::spawn(keeping::keep_trusted(path, trusted));
            }
            Some(Verifying::new(clock.now(), asked.asked, launch.seed).context("tuf")?)
        }
        None => None,
    };

    let (mut reducer, mut effects) = Reducer::new(
        clock.now(),
        launch.facts,
        launch.seed,
        launch.places,
        launch.known,
        launch.standing,
        OptionalParts { leadership: leading, verification: verifying },
    );
    let mut batch = Vec::new();
    loop {
        for effect in effects.drain(..) {
            if tracing::enabled!(tracing::Level::DEBUG) {
                follow_effect(&effect);
            }
            match effect {
                Effect::Dispatch { id, request, to, timeout } => pods.dispatch(id, request, to, timeout),
                Effect::AbortDispatch(id) => pods.abort(id),
                Effect::Answer(ticket, answer) => front.answer(ticket, answer),
                Effect::CloseIdleConnections(to) => pods.close_idle(to),
                Effect::SendDatagram { to, payload } => {
                    if let Some(peers) = &peers {
                        peers.tell(to, &payload);
                    }
                }
                Effect::CastVote { build, stage, verdict, lease } => {
                    let until = tokio::time::Instant::now() + vote_wait;
                    let _ = votes.send(Vote { build, stage, verdict, until, mandate: lease });
                }
                Effect::PersistRaftState { number, state } => drop(keep.send((number, state))),
                Effect::PersistTrustedMetadata(kept) => drop(trust.send(kept)),
                Effect::LogVerificationEvent(told) => verified(told),
                Effect::LogLeadershipEvent(note) => noted(note, clock.now()),
                Effect::RequestPodSnapshot => whole.notify_one(),
                Effect::ReadConfig => {
                    batch.push(Input::ConfigRead(reread().map_err(|error| format!("{error:#}"))))
                }
                Effect::SetDiscoveryAddress(at) => drop(discovery.send_replace(at)),
                Effect::SetPlatformAddress(at) => drop(platform.send_replace(at)),
                Effect::CloseListener => front.close_listener(),
                Effect::Log(words) => tracing::info!("{words}"),
                Effect::EnterState(state) => {
                    tracing::info!(?state, "phase");
                    match state {
                        State::Starting => {}
                        State::Ready => front.set_ready(true),
                        State::Leaving => {
                            front.set_ready(false);
                            front.leave();
                        }
                        State::Draining => front.close_all(),
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
            _ = leave.recv() => batch.push(Input::ShutdownRequested),
            _ = interrupt.recv() => batch.push(Input::ShutdownRequested),
            Some(input) = told.recv() => batch.push(input),
            Some(input) = taken.recv() => batch.push(input),
            () = tokio::time::sleep_until(due) => {}
        }
        // After a stop of this process everything waits at once: what came of lists is read before the rest.
        for _ in 0..TURNS {
            tokio::task::yield_now().await;
        }
        let first = batch.len();
        while let Ok(input) = told.try_recv() {
            batch.push(input);
        }
        batch.rotate_left(first);
        while let Ok(input) = taken.try_recv() {
            batch.push(input);
        }
        batch.push(Input::Tick);
        for input in batch.drain(..) {
            if let Input::DispatchEnded(id, _) = &input {
                pods.forget(*id);
            }
            if tracing::enabled!(tracing::Level::DEBUG) {
                follow_input(&input);
            }
            effects.extend(reducer.apply(clock.now(), input));
        }
    }
}

/// An invocation's way through this sidecar, at level debug alone: its id, its ticket, its dispatches.
fn follow_input(input: &Input) {
    match input {
        Input::InvocationReceived { number, request_id, op, deadline, .. } => {
            tracing::debug!(event = "arrived", id = %request_id.0, ticket = number.0, op = op.0, until = deadline.0, "inv");
        }
        Input::ClientDisconnected(ticket) => tracing::debug!(event = "left", ticket = ticket.0, "inv"),
        Input::DispatchEnded(id, DispatchOutcome { ending, ended_at, in_flight, .. }) => {
            tracing::debug!(event = "ended", dispatch = id.0, ?ending, at = ended_at.0, in_flight, "inv");
        }
        _ => {}
    }
}

fn follow_effect(effect: &Effect) {
    match effect {
        Effect::Dispatch { id, request, to, timeout } => {
            let inv = request.headers.get(front::ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
            tracing::debug!(event = "dispatch", id = inv, dispatch = id.0, %to, wait = timeout.0, "inv");
        }
        Effect::AbortDispatch(id) => tracing::debug!(event = "given_up", dispatch = id.0, "inv"),
        Effect::Answer(ticket, answer) => {
            let answer = match answer {
                FinalAnswer::Succeeded(_) => "succeeded",
                FinalAnswer::Throttled { .. } => "throttled",
                FinalAnswer::Terminated => "terminated",
                FinalAnswer::RequestIdInUse => "id_taken",
                FinalAnswer::Unverified { .. } => "unverified",
            };
            tracing::debug!(event = "answer", ticket = ticket.0, answer, "inv");
        }
        _ => {}
    }
}

/// Decisions by name, so that a program can read them: `docs/leadership.md` lists them.
fn noted(note: Note, now: Tenths) {
    let at = now.0;
    match note {
        Note::Leads { term, until } => {
            tracing::info!(event = "leads", at, term = term.0, until = until.0, "leads")
        }
        Note::SteppedDown { term, why } => {
            tracing::info!(event = "stepped_down", at, term = term.0, why, "leads no longer")
        }
        Note::InForce { term, number, holder, decree } => {
            tracing::info!(
                event = "in_force",
                term = term.0,
                number = number.0,
                holder = holder.0,
                decree,
                "a decree"
            );
        }
        Note::CaughtUp { number } => {
            tracing::info!(event = "caught_up", number = number.0, "has all that is in force")
        }
        Note::Founded { term } => tracing::warn!(event = "founded", term = term.0, "an era begins"),
        Note::Refused { decree, why } => tracing::debug!(event = "refused", decree, why, "not decided"),
        Note::Dropped { counts } => {
            tracing::warn!(event = "datagrams_dropped", counts, "datagrams not taken")
        }
        Note::Member { seat, health } => tracing::info!(event = "member", seat = seat.0, ?health, "member"),
    }
}

fn verified(told: Told) {
    match told {
        Told::Trusted { versions } => tracing::info!(event = "trusted", ?versions, "new metadata"),
        Told::Refused { kind, why, again_in } => {
            tracing::warn!(event = "metadata_refused", kind, again_in_ms = again_in.0 / 10, "{why}");
        }
        Told::GoesOnEnded { since } => {
            tracing::error!(
                event = "goes_on_ended",
                since,
                "the trusted metadata have ended and are used all the same"
            );
        }
    }
}
