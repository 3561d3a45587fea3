//! Zipf-distributed ranks.
//!
//! Sampling is by rejection-inversion (Hörmann and Derflinger, 1996), which
//! needs no table, so it also serves 6.6e9 keys.

use rand::Rng;
use rand::RngExt as _;

/// Distribution of ranks from 1, of which rank `k` has weight `k^-exponent`.
///
/// # Examples
///
/// ```
/// use rand_chacha::rand_core::SeedableRng as _;
/// use sequoiayoke_emulator::load::zipf;
///
/// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let zipf = zipf::Zipf::new(100, 1.0);
/// assert!((1..=100).contains(&zipf.sample(&mut random)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Zipf {
    size: f64,
    exponent: f64,
    // Integrals of the density at the two ends, between which a point is drawn.
    first: f64,
    last: f64,
    // Points so close to their rank are accepted without another test.
    margin: f64,
}

impl Zipf {
    /// Makes a distribution over `size` ranks; exponent 0 is uniform.
    pub fn new(size: u64, exponent: f64) -> Self {
        let size = size.max(1) as f64;
        let mut zipf = Self {
            size,
            exponent,
            first: 0.0,
            last: 0.0,
            margin: 0.0,
        };
        zipf.first = zipf.integral(1.5) - 1.0;
        zipf.last = zipf.integral(size + 0.5);
        zipf.margin = 2.0 - zipf.inverse(zipf.integral(2.5) - zipf.density(2.0));
        zipf
    }

    /// Draws a rank.
    pub fn sample<R>(&self, random: &mut R) -> u64
    where
        R: Rng,
    {
        loop {
            let unit: f64 = random.random();
            let point = self.last + unit * (self.first - self.last);
            let place = self.inverse(point);
            let rank = place.round().clamp(1.0, self.size);
            let accepted = rank - place <= self.margin
                || point >= self.integral(rank + 0.5) - self.density(rank);
            if accepted {
                return rank as u64;
            }
        }
    }

    fn density(&self, x: f64) -> f64 {
        (-self.exponent * x.ln()).exp()
    }

    fn integral(&self, x: f64) -> f64 {
        let log = x.ln();
        ratio_of_exp((1.0 - self.exponent) * log) * log
    }

    fn inverse(&self, x: f64) -> f64 {
        let scaled = (x * (1.0 - self.exponent)).max(-1.0);
        (ratio_of_log(scaled) * x).exp()
    }
}

/// Returns `(exp(x) - 1) / x`, also near zero.
fn ratio_of_exp(x: f64) -> f64 {
    if x.abs() > 1e-8 {
        x.exp_m1() / x
    } else {
        1.0 + x / 2.0
    }
}

/// Returns `ln(1 + x) / x`, also near zero.
fn ratio_of_log(x: f64) -> f64 {
    if x.abs() > 1e-8 {
        x.ln_1p() / x
    } else {
        1.0 - x / 2.0
    }
}
