//! Settings of a replica.

use std::time::Duration;

use sequoiayoke_model::id;

/// Settings of a replica.
///
/// All replicas of a group must use the same times: the authority of a leader
/// depends on the refusal of the other replicas to vote within `election_min`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this replica.
    pub id: id::Replica,
    /// Initial voters of the group. Used only until a snapshot or an entry
    /// holds a membership, see [`crate::snapshot::Snapshot::new`]. Empty for a
    /// replica that joins later.
    pub voters: Vec<id::Replica>,
    /// Initial learners of the group.
    pub learners: Vec<id::Replica>,
    /// Shortest election timeout.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Interval between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Largest difference between the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// Largest size in bytes of the entries or the snapshot data in one message.
    pub max_batch_bytes: usize,
    /// Largest number of entries in one message.
    pub max_batch_entries: usize,
    /// Largest number of messages with entries to one replica that await a response.
    pub max_in_flight: usize,
    /// Largest number of uncommitted entries in the log of a leader.
    pub max_uncommitted: u64,
    /// Largest size in bytes of a snapshot that a replica accepts.
    pub max_snapshot_bytes: u64,
    /// Number of entries before the snapshot that stay in memory, so that a
    /// replica that lags slightly needs no snapshot.
    pub keep_entries: u64,
    /// Seed of the random election timeouts; must differ between replicas.
    pub seed: u64,
}

impl Config {
    /// Creates settings with the default times and limits for replica `id`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_consensus::config;
    /// use sequoiayoke_model::id;
    ///
    /// let config = config::Config::new(id::Replica(7)).with_voters([id::Replica(7)]);
    /// assert!(config.authority_duration() < config.election_min);
    /// ```
    pub fn new(id: id::Replica) -> Self {
        Self {
            id,
            voters: Vec::new(),
            learners: Vec::new(),
            election_min: Duration::from_millis(250),
            election_max: Duration::from_millis(400),
            heartbeat: Duration::from_millis(60),
            drift_percent: 5,
            // A frame holds at most 1 MiB; the remainder is left for the encoding.
            max_batch_bytes: 512 * 1024,
            max_batch_entries: 1_024,
            max_in_flight: 16,
            max_uncommitted: 8_192,
            max_snapshot_bytes: 256 * 1024 * 1024,
            keep_entries: 4_096,
            seed: id.0,
        }
    }

    /// Sets the initial voters of the group.
    pub fn with_voters<V>(mut self, voters: V) -> Self
    where
        V: IntoIterator<Item = id::Replica>,
    {
        self.voters = voters.into_iter().collect();
        self
    }

    /// Sets the seed of the election timeouts.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns how long a leader may act after it sent a heartbeat that was
    /// acknowledged: `election_min` less the margin for clock drift.
    pub fn authority_duration(&self) -> Duration {
        let percent = 100_u32.saturating_sub(self.drift_percent);
        self.election_min * percent / 100
    }
}
