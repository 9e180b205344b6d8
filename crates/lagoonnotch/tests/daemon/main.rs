//! Tests of the real daemon against the stand-in platform, over loopback.

mod answers;
mod api;
mod cell;
mod faults;
mod readiness;
