//! Durations, written as a number with a unit.

use std::time::Duration;

use serde::de::Error as _;

/// A duration such as `250ms` or `2.5s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl Span {
    /// Parses a number with the unit `ms` or `s`; returns `None` if `text` is anything else.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_settings::span;
    ///
    /// assert_eq!(span::Span::parse("2.5s"), Some(span::Span(Duration::from_millis(2_500))));
    /// assert_eq!(span::Span::parse("2.5"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (number, unit_s) = match text.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (text.strip_suffix('s')?, 1.0),
        };
        let number: f64 = number.trim().parse().ok()?;
        let seconds = number * unit_s;
        Duration::try_from_secs_f64(seconds).ok().map(Self)
    }
}

impl<'de> serde::Deserialize<'de> for Span {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| {
            D::Error::custom(format!("`{text}` is not a time such as 250ms or 2.5s"))
        })
    }
}

impl serde::Serialize for Span {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_str(&format!("{}ms", self.0.as_millis()))
    }
}
