//! General-purpose helpers, independent of the serving logic.

pub mod allowance;
pub mod body;
pub mod clock;
pub mod command_line;
pub mod durable_file;
pub mod findings;
pub mod frames;
pub mod hash;
pub mod held;
pub mod http_server;
pub mod log_output;
pub mod logline;
pub mod outbox;
pub mod send_queue;
pub mod signals;
pub mod socket;
pub mod task;
pub mod timers;
pub mod turns;
