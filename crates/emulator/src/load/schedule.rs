//! Arrivals generated from a seed.

use std::time::Duration;

use http::Method;
use rand::RngExt as _;
use rand_chacha::rand_core::SeedableRng as _;

use crate::load;
use crate::load::arrival;
use crate::load::mix;
use crate::load::plan;
use crate::load::zipf;

/// Poisson arrivals over Zipf-distributed keys.
#[derive(Debug)]
pub struct Schedule<'a> {
    plan: &'a plan::Plan,
    random: rand_chacha::ChaCha8Rng,
    zipf: zipf::Zipf,
    now: Duration,
}

impl<'a> Schedule<'a> {
    /// Creates the schedule of a plan; the same seed always gives the same schedule.
    pub fn new(plan: &'a plan::Plan) -> Self {
        Self {
            plan,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed),
            zipf: zipf::Zipf::new(plan.keys, plan.zipf),
            now: Duration::ZERO,
        }
    }

    fn draw_key(&mut self) -> (String, bool) {
        if let Some(storm) = &self.plan.storm
            && self.now >= storm.start
            && self.random.random_bool(storm.share.clamp(0.0, 1.0))
        {
            let number = self.random.random_range(0..storm.keys.max(1));
            return (format!("storm-{number}"), true);
        }
        let rank = self.zipf.sample(&mut self.random);
        let hot = rank <= self.plan.hot_ranks;
        // Shifting the assignment of keys to ranks changes the hottest keys.
        let periods = match self.plan.shift_interval {
            Some(period) if !period.is_zero() => self.now.as_micros() / period.as_micros().max(1),
            _ => 0,
        };
        let shift = (periods as u64).wrapping_mul(self.plan.hot_ranks);
        let key = (rank - 1).wrapping_add(shift) % self.plan.keys.max(1);
        (format!("key-{key}"), hot)
    }

    fn draw_kind(&mut self, share: &mix::Share) -> arrival::Kind {
        let total = share.reads + share.writes + share.uploads;
        let point = self.random.random::<f64>() * total;
        if point < share.reads {
            arrival::Kind::Read
        } else if point < share.reads + share.writes {
            arrival::Kind::Write
        } else {
            arrival::Kind::Upload
        }
    }
}

/// Chooses a share with a probability proportional to its weight; `unit` is in `0.0..1.0`.
fn choose_share(shares: &[mix::Share], unit: f64) -> Option<&mix::Share> {
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    let mut remaining = unit * total;
    for share in shares {
        remaining -= share.weight;
        if remaining < 0.0 {
            return Some(share);
        }
    }
    shares.last()
}

impl arrival::Source for Schedule<'_> {
    fn next(&mut self) -> Result<Option<arrival::Arrival>, load::Error> {
        let unit: f64 = self.random.random();
        // `unit` is less than 1, so the logarithm is finite.
        let interval = -(1.0 - unit).ln() / self.plan.rate;
        self.now += Duration::from_secs_f64(interval);
        if self.now >= self.plan.duration {
            return Ok(None);
        }
        let unit = self.random.random();
        let Some(share) = choose_share(&self.plan.mix.shares, unit) else {
            return Ok(None);
        };
        let kind = self.draw_kind(share);
        let (key, hot) = self.draw_key();
        let (method, body_bytes) = match kind {
            arrival::Kind::Read => (Method::GET, 0),
            arrival::Kind::Write => (Method::POST, self.plan.write_bytes),
            arrival::Kind::Upload => (Method::PUT, self.plan.upload_bytes),
        };
        Ok(Some(arrival::Arrival {
            due: self.now,
            kind,
            method,
            service: share.service.clone(),
            key,
            scope: None,
            body_bytes,
            hot,
            salt: self.random.random(),
        }))
    }
}
