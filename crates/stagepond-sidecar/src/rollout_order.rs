//! The order of what the platform reports of its rollout. The stream and the answers to votes come on connections
//! of their own, so an answer that was made earlier can arrive later.

use stagepond::host::{Phase, Tenths};

use crate::messages::RolloutStatus;

/// How far a rollout has come in a phase. Within one build it never goes back.
fn phase_rank(phase: Phase) -> u8 {
    match phase {
        Phase::Trial => 0,
        Phase::GoingBack => 1,
        Phase::Released | Phase::Withdrawn => 2,
    }
}

/// Whether the first status is of an earlier moment than the second, by what they say.
fn is_earlier(status: &RolloutStatus, other: &RolloutStatus) -> bool {
    let progress = |status: &RolloutStatus| (status.build, phase_rank(status.phase), status.stage);
    progress(status) < progress(other)
}

/// Follows what the platform reported on its stream.
#[derive(Default)]
pub struct RolloutOrder {
    /// The last status of the stream and when it came.
    news: Option<(RolloutStatus, Tenths)>,
}

impl RolloutOrder {
    /// Notes a status that the stream brought. Its events come in order.
    pub fn on_news(&mut self, now: Tenths, status: RolloutStatus) {
        self.news = Some((status, now));
    }

    /// What holds after the answer to a vote: the answer, or the last news if that is of a later moment, with its
    /// age as of `now`.
    pub fn latest(&self, now: Tenths, answer: RolloutStatus) -> RolloutStatus {
        match self.news {
            Some((news, received_at)) if is_earlier(&answer, &news) => {
                RolloutStatus { age: news.age + (now - received_at), ..news }
            }
            _ => answer,
        }
    }
}
