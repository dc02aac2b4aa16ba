//! Durable log of length and checksum framed records.
