//! Tests of groups of replicas.

mod exploration;
mod group;
mod scenarios;
