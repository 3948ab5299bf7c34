//! Membership of daemons.
