//! The real daemon against the stand-ins, over loopback.

mod answers;
mod api;
mod cell;
mod faults;
