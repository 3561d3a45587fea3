//! Arguments and results of a window.

use sequoiayoke_model::{id, key, outcome, request};

/// Largest answer that is kept for replay, in bytes.
pub(super) const ANSWER_MAX: usize = 4096;

/// Bounds of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Ids in the window; at least 1.
    pub entries: usize,
    /// Total size of the answers that are kept, in bytes.
    pub answer_bytes: usize,
}

impl Default for Limits {
    /// 4096 ids last for over a minute at 55 writes/s, the share of one of 64
    /// slices in 3,600 requests/s of a node. With 256 KiB of answers an export
    /// fits into one frame of 1 MiB.
    fn default() -> Self {
        Self {
            entries: 4096,
            answer_bytes: 256 * 1024,
        }
    }
}

/// A response that is kept for replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the size of headers and body in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// How a run of a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered; `None` if the answer is too long to keep.
    Answered(Option<Answer>),
    /// It was never dispatched, or the backend server refused it.
    NotRun,
    /// It may have run.
    Unknown(outcome::Reason),
}

/// What the window knows about a request that ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It was answered; `None` if the answer was not kept.
    Answered(Option<Answer>),
    /// It may have run.
    Unknown(outcome::Reason),
}

impl State {
    pub(super) fn answer(&self) -> Option<&Answer> {
        match self {
            Self::Answered(answer) => answer.as_ref(),
            Self::Unknown(_) => None,
        }
    }
}

/// Decision about one attempt with a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// The id has not run; run it.
    Run,
    /// Another attempt with the id is running.
    Running,
    /// The id ran, and this is its answer.
    Replay(&'a Answer),
    /// The id ran, but its answer was not kept.
    AnswerNotKept,
    /// The id may have run; its outcome is not known.
    Unknown(outcome::Reason),
    /// The id was used for another key.
    OtherKey,
    /// The id is older than the complete part of the record.
    TooOld,
    /// The id was issued under a later grant than the owner's.
    FutureEpoch,
    /// The window is full of running ids.
    Full,
}

impl Verdict<'_> {
    /// Returns the outcome to report, or `None` if the request runs now.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::outcome::{Outcome, Reason};
    /// use sequoiayoke_traffic::window;
    ///
    /// let old = window::Verdict::TooOld.outcome();
    /// assert_eq!(old, Some(Outcome::Unknown(Reason::IdTooOld)));
    /// ```
    pub const fn outcome(&self) -> Option<outcome::Outcome> {
        use outcome::{Outcome, Reason};
        match self {
            Self::Run => None,
            Self::Running => Some(Outcome::NotRun(Reason::DuplicateRunning)),
            Self::Replay(answer) => Some(Outcome::Answered(answer.status)),
            Self::AnswerNotKept => Some(Outcome::Unknown(Reason::AnswerNotKept)),
            Self::Unknown(reason) => Some(Outcome::Unknown(*reason)),
            Self::OtherKey => Some(Outcome::NotRun(Reason::BadRequest)),
            Self::TooOld => Some(Outcome::Unknown(Reason::IdTooOld)),
            Self::FutureEpoch => Some(Outcome::NotRun(Reason::NotOwner)),
            Self::Full => Some(Outcome::NotRun(Reason::Overload)),
        }
    }
}

/// One id of an exported window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The request id.
    pub id: request::Id,
    /// Hash of the request's key, so that a split can divide the records.
    pub hash: key::Hash,
    /// What is known about the request.
    pub state: State,
}

/// Contents of a window that moves to the next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// Epoch of the grant that ended.
    pub epoch: id::Epoch,
    /// Epoch from which the record is complete.
    pub since: id::Epoch,
    /// Largest time of issue ever evicted, in milliseconds.
    pub floor: Option<u64>,
    /// The ids, ordered by time of issue.
    pub records: Vec<Record>,
}

/// Reason why an export cannot be imported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The export does not come from an earlier grant.
    NotEarlier,
    /// The export is inconsistent.
    Malformed,
}
