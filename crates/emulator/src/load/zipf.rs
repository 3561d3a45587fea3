//! Zipf-distributed ranks.
//!
//! Samples by rejection-inversion (Hörmann and Derflinger, 1996), which needs no
//! table and therefore supports 6.6e9 keys.

use rand::Rng;
use rand::RngExt as _;

/// Distribution over ranks from 1 in which rank `k` has the weight `k^-exponent`.
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
    // Integral of the density at both ends of the ranks; points are drawn between them.
    first_integral: f64,
    last_integral: f64,
    // Points this close to their rank are accepted without evaluating the integral.
    acceptance_margin: f64,
}

impl Zipf {
    /// Creates a distribution over `size` ranks; an exponent of 0 is uniform.
    pub fn new(size: u64, exponent: f64) -> Self {
        let size = size.max(1) as f64;
        let mut zipf = Self {
            size,
            exponent,
            first_integral: 0.0,
            last_integral: 0.0,
            acceptance_margin: 0.0,
        };
        zipf.first_integral = zipf.integral(1.5) - 1.0;
        zipf.last_integral = zipf.integral(size + 0.5);
        zipf.acceptance_margin = 2.0 - zipf.inverse(zipf.integral(2.5) - zipf.density(2.0));
        zipf
    }

    /// Draws a rank.
    pub fn sample<R>(&self, random: &mut R) -> u64
    where
        R: Rng,
    {
        loop {
            let unit: f64 = random.random();
            let point = self.last_integral + unit * (self.first_integral - self.last_integral);
            let x = self.inverse(point);
            let rank = x.round().clamp(1.0, self.size);
            let accepted = rank - x <= self.acceptance_margin
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

/// Returns `(exp(x) - 1) / x`, with its series expansion near zero.
fn ratio_of_exp(x: f64) -> f64 {
    if x.abs() > 1e-8 {
        x.exp_m1() / x
    } else {
        1.0 + x / 2.0
    }
}

/// Returns `ln(1 + x) / x`, with its series expansion near zero.
fn ratio_of_log(x: f64) -> f64 {
    if x.abs() > 1e-8 {
        x.ln_1p() / x
    } else {
        1.0 - x / 2.0
    }
}
