//! Ownership of a pool of engines: pins, orders and waiting requests.
