//! Arrivals drawn from a seed.

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
    /// Makes the schedule of a plan; equal seeds give equal schedules.
    pub fn new(plan: &'a plan::Plan) -> Self {
        Self {
            plan,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed),
            zipf: zipf::Zipf::new(plan.keys, plan.zipf),
            now: Duration::ZERO,
        }
    }

    fn key(&mut self) -> (String, bool) {
        if let Some(storm) = &self.plan.storm
            && self.now >= storm.start
            && self.random.random_bool(storm.share.clamp(0.0, 1.0))
        {
            let number = self.random.random_range(0..storm.keys.max(1));
            return (format!("storm-{number}"), true);
        }
        let rank = self.zipf.sample(&mut self.random);
        let hot = rank <= self.plan.hot_ranks;
        // The hottest keys change by shifting which key has which rank.
        let periods = match self.plan.shift_every {
            Some(period) if !period.is_zero() => self.now.as_micros() / period.as_micros().max(1),
            _ => 0,
        };
        let shift = (periods as u64).wrapping_mul(self.plan.hot_ranks);
        let key = (rank - 1).wrapping_add(shift) % self.plan.keys.max(1);
        (format!("key-{key}"), hot)
    }

    fn kind(&mut self, share: &mix::Share) -> arrival::Kind {
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

/// Picks an item by its weight; `unit` lies between 0 and 1.
fn pick(shares: &[mix::Share], unit: f64) -> Option<&mix::Share> {
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    let mut left = unit * total;
    for share in shares {
        left -= share.weight;
        if left < 0.0 {
            return Some(share);
        }
    }
    shares.last()
}

impl arrival::Source for Schedule<'_> {
    fn next(&mut self) -> Result<Option<arrival::Arrival>, load::Error> {
        let unit: f64 = self.random.random();
        // `1 - unit` is never zero, so the logarithm is finite.
        let gap = -(1.0 - unit).ln() / self.plan.rate;
        self.now += Duration::from_secs_f64(gap);
        if self.now >= self.plan.duration {
            return Ok(None);
        }
        let unit = self.random.random();
        let Some(share) = pick(&self.plan.mix.shares, unit) else {
            return Ok(None);
        };
        let kind = self.kind(share);
        let (key, hot) = self.key();
        let (method, body_bytes) = match kind {
            arrival::Kind::Read => (Method::GET, 0),
            arrival::Kind::Write => (Method::POST, self.plan.write_bytes),
            arrival::Kind::Upload => (Method::PUT, self.plan.upload_bytes),
        };
        Ok(Some(arrival::Arrival {
            at: self.now,
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
