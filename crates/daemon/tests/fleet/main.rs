//! Tests of the real daemon with a simulated store and simulated engines.

mod attribution;
mod calls;
mod crashing_part;
mod crashing_request;
mod cut_heads;
mod endless;
mod engine;
mod engine_limit;
mod faults;
mod fixture;
mod kept_connections;
mod late_messages;
mod late_order;
mod leaving;
mod odd_datagrams;
mod odd_entries;
mod orders;
mod pausing;
mod raw_engine;
mod restored;
mod resumed_streams;
mod silent_store;
mod soak;
mod stopping;
mod store;
mod unframed;
