//! Tests of the real daemon against simulated platform services, over loopback.

mod answers;
mod api;
mod cell;
mod faults;
