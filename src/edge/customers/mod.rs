//! Customers: organisations whose callers hold keys and share a cap.

mod cap;
mod key;

pub use cap::{Cap, CapUnit};
pub use key::KeyDigest;

use std::collections::HashMap;
use std::sync::Arc;

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name.
    pub name: Arc<str>,
    /// Priority of its requests in place of that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Cap on its use of all hosts together.
    pub cap: Option<Cap>,
}

/// The customers of a desired state, with the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    required: bool,
    by_name: HashMap<Arc<str>, Arc<Customer>>,
    by_key: HashMap<KeyDigest, Arc<Customer>>,
}

/// Why a customer cannot be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// Another customer has its name.
    #[error("another customer has the same name")]
    Name,
    /// Another customer has one of its keys.
    #[error("key {0} is also a key of another customer")]
    Key(usize),
}

impl Customers {
    /// Returns customers to which others can be added; requests need a key from the start.
    pub fn named() -> Self {
        Customers {
            required: true,
            ..Customers::default()
        }
    }

    /// Adds a customer that holds these keys.
    ///
    /// # Errors
    ///
    /// Returns the conflict with a customer that was added before.
    pub fn add(&mut self, customer: Customer, keys: &[KeyDigest]) -> Result<(), Conflict> {
        if self.by_name.contains_key(&customer.name) {
            return Err(Conflict::Name);
        }
        if let Some(shared) = keys.iter().position(|k| self.by_key.contains_key(k)) {
            return Err(Conflict::Key(shared));
        }
        let customer = Arc::new(customer);
        for key in keys {
            self.by_key.insert(*key, customer.clone());
        }
        self.by_name.insert(customer.name.clone(), customer);
        Ok(())
    }

    /// Returns whether the configuration names customers, so that a request on a route that is
    /// not public needs the key of one.
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// Returns the customer that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// Returns the customer with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns all customers, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }
}
