//! Helpers without knowledge of the product.

pub mod clock;
pub mod command_line;
pub mod findings;
pub mod logline;
pub mod outbox;
pub mod socket;
pub mod timers;
