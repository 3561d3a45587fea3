//! Which services a deployment has, and what its callers do with them.

use std::str;

/// Share of a service in the load, and shares of the kinds within it.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Service.
    pub service: String,
    /// Weight against the other services.
    pub weight: f64,
    /// Weight of reads.
    pub reads: f64,
    /// Weight of non-idempotent writes.
    pub writes: f64,
    /// Weight of uploads.
    pub uploads: f64,
}

/// The text is not `service:weight:reads:writes:uploads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected service:weight:reads:writes:uploads with numbers that are not negative")]
pub struct Malformed;

/// Shares of all services; never empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// The shares.
    pub shares: Vec<Share>,
}

impl Share {
    /// Makes a share.
    pub fn new(service: &str, weight: f64, reads: f64, writes: f64, uploads: f64) -> Self {
        Self {
            service: service.into(),
            weight,
            reads,
            writes,
            uploads,
        }
    }
}

impl str::FromStr for Share {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.split(':');
        let service = parts.next().filter(|service| !service.is_empty());
        let service = service.ok_or(Malformed)?;
        let mut number = || {
            let part = parts.next().ok_or(Malformed)?;
            let number: f64 = part.parse().map_err(|_| Malformed)?;
            (number.is_finite() && number >= 0.0)
                .then_some(number)
                .ok_or(Malformed)
        };
        let share = Self::new(service, number()?, number()?, number()?, number()?);
        if parts.next().is_some() || share.reads + share.writes + share.uploads <= 0.0 {
            return Err(Malformed);
        }
        Ok(share)
    }
}

impl Mix {
    /// Kiosk status, refunds with repair orders, and photos with parts.
    pub fn ankesor() -> Self {
        Self {
            shares: vec![
                Share::new("kiosk-status", 5.0, 0.7, 0.3, 0.0),
                Share::new("refunds", 4.0, 0.5, 0.5, 0.0),
                Share::new("photos", 3.0, 0.8, 0.1, 0.1),
            ],
        }
    }

    /// Queue board, vouchers with payments, and intake with reservations.
    pub fn chao_phraya() -> Self {
        Self {
            shares: vec![
                Share::new("queue-board", 5.0, 0.9, 0.1, 0.0),
                Share::new("payments", 3.0, 0.4, 0.6, 0.0),
                Share::new("intake", 3.0, 0.6, 0.35, 0.05),
            ],
        }
    }
}
