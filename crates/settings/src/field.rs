//! Descriptions of settings.
//!
//! `section!` declares each numeric setting once, with its unit, default and bound,
//! so that the type, its check and its documentation cannot differ.

/// Description of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Path of the field within its section.
    pub name: &'static str,
    /// Unit, or the kind of value if it has none.
    pub unit: &'static str,
    /// Default, or `required`.
    pub default: &'static str,
    /// Accepted values.
    pub bound: &'static str,
    /// Meaning of the setting.
    pub about: &'static str,
}

impl Field {
    /// Creates a description.
    pub const fn new(
        name: &'static str,
        unit: &'static str,
        default: &'static str,
        bound: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            name,
            unit,
            default,
            bound,
            about,
        }
    }
}

/// Declares a section of numeric settings: its type, defaults, bounds and descriptions.
macro_rules! section {
    (
        $(#[doc = $doc:literal])+
        pub struct $section:ident {
            $(
                $(#[doc = $about:literal])+
                $name:ident: $type:ty = $default:literal, $unit:literal, $low:literal..=$high:literal;
            )+
        }
    ) => {
        $(#[doc = $doc])+
        #[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $section {
            $(
                $(#[doc = $about])+
                #[doc = concat!("\n\nUnit: ", $unit, "; default ", stringify!($default), "; bound ",
                    stringify!($low), " to ", stringify!($high), ".")]
                pub $name: $type,
            )+
        }

        impl $section {
            /// Descriptions of the settings of this section.
            pub const FIELDS: &[$crate::field::Field] = &[
                $($crate::field::Field::new(
                    stringify!($name),
                    $unit,
                    stringify!($default),
                    concat!(stringify!($low), " to ", stringify!($high)),
                    concat!($($about),+),
                ),)+
            ];

            fn check_bounds(&self, problems: &mut $crate::check::Problems) {
                $(
                    let range: std::ops::RangeInclusive<$type> = $low..=$high;
                    problems.require(
                        range.contains(&self.$name),
                        stringify!($name),
                        format!("{} is not within {} to {} {}", self.$name, range.start(), range.end(), $unit),
                    );
                )+
            }
        }

        impl Default for $section {
            fn default() -> Self {
                Self { $($name: $default,)+ }
            }
        }
    };
}

pub(crate) use section;
