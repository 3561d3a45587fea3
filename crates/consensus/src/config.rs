//! Settings of a replica.

use std::time::Duration;

use sequoiayoke_model::id;

/// Settings of a replica.
///
/// All replicas of a group must use the same times: the authority of a leader
/// rests on the others' refusal to vote within `election_min`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this replica.
    pub id: id::Replica,
    /// Voters with which the group starts. Used only as long as no snapshot
    /// and no entry holds a membership, see [`crate::snapshot::Snapshot::new`].
    /// Empty for a replica that joins later.
    pub voters: Vec<id::Replica>,
    /// Learners with which the group starts.
    pub learners: Vec<id::Replica>,
    /// Shortest time without a leader after which a replica stands for election.
    pub election_min: Duration,
    /// Longest time without a leader after which a replica stands for election.
    pub election_max: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Largest difference between the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// Most bytes of entries, and of snapshot data, in one message.
    pub max_batch_bytes: usize,
    /// Most entries in one message.
    pub max_batch_entries: usize,
    /// Most messages with entries to one replica that await a response.
    pub max_in_flight: usize,
    /// Most entries that a leader accepts ahead of the committed one.
    pub max_uncommitted: u64,
    /// Most bytes of a snapshot that a replica accepts.
    pub max_snapshot_bytes: u64,
    /// Entries kept in memory before a snapshot, for replicas a little behind.
    pub keep_entries: u64,
    /// Seed of the election timeouts; must differ between replicas.
    pub seed: u64,
}

impl Config {
    /// Makes settings with the design's times and bounds for replica `id`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_consensus::config;
    /// use sequoiayoke_model::id;
    ///
    /// let config = config::Config::new(id::Replica(7)).with_voters([id::Replica(7)]);
    /// assert!(config.authority_span() < config.election_min);
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
            // A frame holds 1 MiB; the rest is left for the encoding.
            max_batch_bytes: 512 * 1024,
            max_batch_entries: 1_024,
            max_in_flight: 16,
            max_uncommitted: 8_192,
            max_snapshot_bytes: 256 * 1024 * 1024,
            keep_entries: 4_096,
            seed: id.0,
        }
    }

    /// Sets the voters with which the group starts.
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

    /// Returns how long after it sent an acknowledged heartbeat a leader may
    /// act: `election_min` less the drift margin.
    pub fn authority_span(&self) -> Duration {
        let percent = 100_u32.saturating_sub(self.drift_percent);
        self.election_min * percent / 100
    }
}
