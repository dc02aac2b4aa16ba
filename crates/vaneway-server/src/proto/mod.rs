//! The operators' gRPC interface, generated from `proto/`.
//!
//! The generated files are committed, so that the build needs no generator. A test regenerates and
//! compares them; run it with `VANEWAY_BLESS=1` to update them after a change of the schema.

/// Version 1 of the operators' interface.
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod v1;
