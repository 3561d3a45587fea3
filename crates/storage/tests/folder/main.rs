//! Tests of the data directory.

mod damage;
mod directory;
mod durability;
mod model;
mod volatile;
