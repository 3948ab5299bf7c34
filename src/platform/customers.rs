//! Decodes the customers of a desired state. No error shows a key.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::edge::customers::{Cap, CapUnit, Conflict, Customer, Customers, KeyDigest};

/// Field with the keys of a customer.
const KEYS: &str = "apiKeys";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireCustomer {
    #[serde(default)]
    name: Arc<str>,
    priority: Option<u8>,
    #[serde(default)]
    unit: WireUnit,
    plain_tokens: Option<f64>,
    #[serde(default)]
    per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireUnit {
    #[default]
    Requests,
    Tokens,
}

/// A fault in the customers of a desired state.
#[derive(Debug, thiserror::Error)]
pub enum InvalidCustomers {
    /// They are not a list.
    #[error("tenants is not a list")]
    NoList,
    /// One of them, counted from 0, cannot be taken.
    #[error("tenants[{index}]: {fault}")]
    Customer {
        /// Its index.
        index: usize,
        /// What is wrong with it.
        fault: Fault,
    },
}

/// What is wrong with a customer.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It is not an object.
    #[error("not an object")]
    NoObject,
    /// A field other than the keys has a wrong type.
    #[error(transparent)]
    Field(serde_json::Error),
    /// Its name is empty, or no value of a header.
    #[error("name is missing, or is not a visible text")]
    Name,
    /// Its keys are not a list.
    #[error("apiKeys is not a list")]
    NoKeys,
    /// A key, counted from 0, is not a text without spaces.
    #[error("apiKeys[{0}] is not a text without spaces of at least one character")]
    Key(usize),
    /// A figure of its cap is below zero or not finite.
    #[error("{0} is {1}, not a finite number of at least 0")]
    Figure(&'static str, f64),
    /// It conflicts with another customer.
    #[error(transparent)]
    Conflict(#[from] Conflict),
}

/// Decodes the customers; `None` if the desired state has no such field.
pub(super) fn decode(wire: Option<Value>) -> Result<Customers, InvalidCustomers> {
    let list = match wire {
        None => return Ok(Customers::default()),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(InvalidCustomers::NoList),
    };
    let mut customers = Customers::named();
    for (index, value) in list.into_iter().enumerate() {
        add_customer(&mut customers, value)
            .map_err(|fault| InvalidCustomers::Customer { index, fault })?;
    }
    Ok(customers)
}

fn add_customer(customers: &mut Customers, value: Value) -> Result<(), Fault> {
    let Value::Object(mut fields) = value else {
        return Err(Fault::NoObject);
    };
    // Taken out first: errors of the other fields may show their values.
    let keys = decode_keys(fields.remove(KEYS))?;
    let wire: WireCustomer = serde_json::from_value(fields.into()).map_err(Fault::Field)?;
    if !is_name(&wire.name) {
        return Err(Fault::Name);
    }
    let cap = decode_cap(&wire)?;
    let customer = Customer {
        name: wire.name,
        priority: wire.priority,
        cap,
    };
    customers.add(customer, &keys)?;
    Ok(())
}

/// Returns whether a name can stand in a header as it is.
fn is_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}

fn decode_keys(keys: Option<Value>) -> Result<Vec<KeyDigest>, Fault> {
    let keys = match keys {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(keys)) => keys,
        Some(_) => return Err(Fault::NoKeys),
    };
    let mut digests = Vec::with_capacity(keys.len());
    for (index, key) in keys.iter().enumerate() {
        let key = key.as_str().filter(|k| !k.is_empty());
        let key = key.filter(|k| !k.chars().any(|c| c.is_whitespace() || c.is_control()));
        let key = key.ok_or(Fault::Key(index))?;
        digests.push(KeyDigest::of(key.as_bytes()));
    }
    Ok(digests)
}

/// Returns the cap of a customer; a rate of 0 is none.
fn decode_cap(wire: &WireCustomer) -> Result<Option<Cap>, Fault> {
    let plain = wire.plain_tokens.unwrap_or(0.0);
    for (field, figure) in [
        ("perS", wire.per_s),
        ("burst", wire.burst),
        ("plainTokens", plain),
    ] {
        if !figure.is_finite() || figure < 0.0 {
            return Err(Fault::Figure(field, figure));
        }
    }
    if wire.per_s == 0.0 {
        return Ok(None);
    }
    let (unit, plain_cost) = match wire.unit {
        WireUnit::Requests => (CapUnit::Requests, 1.0),
        WireUnit::Tokens => (CapUnit::Tokens, plain),
    };
    Ok(Some(Cap {
        unit,
        rate: wire.per_s,
        burst: wire.burst,
        plain_cost,
    }))
}
