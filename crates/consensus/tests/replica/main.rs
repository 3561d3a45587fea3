//! Tests of groups of replicas.

mod commitment;
mod exploration;
mod group;
mod scenarios;
