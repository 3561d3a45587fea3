//! Backend servers that fail while the others of their service do not.
//!
//! A backend server may fail most of its requests and call itself healthy. For a key there
//! is no other choice than its owner, so the keys have to move. Failures that all have, as
//! when a service that they call is down, are no reason to move anything.

/// Share of failed requests from which a backend server may be an outlier.
const HIGH: f64 = 0.5;
/// Median share in its service up to which it is one.
const ORDINARY: f64 = 0.2;

/// Returns which of the shares of failed requests are outliers. At most a third of a
/// service are: the others must be able to take their keys.
///
/// # Examples
///
/// ```
/// use sequoiayoke_balance::outlier;
///
/// assert_eq!(outlier::detect(&[0.0, 0.9, 0.1]), [false, true, false]);
/// assert_eq!(outlier::detect(&[0.9, 0.9, 0.8]), [false, false, false]);
/// ```
pub fn detect(shares: &[f64]) -> Vec<bool> {
    let mut sorted = shares.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0.0);
    let found: Vec<_> = shares
        .iter()
        .map(|share| *share >= HIGH && median <= ORDINARY)
        .collect();
    let count = found.iter().filter(|is_outlier| **is_outlier).count();
    match count * 3 <= shares.len() {
        true => found,
        false => vec![false; shares.len()],
    }
}
