//! What callers may use at this host: rates and requests in progress.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use crate::clock::Moment;
use crate::config::{Caller, Name};
use crate::decide::rate_limits::CallerLimits;
use crate::error::{Kind, Refusal};

/// Rates and requests in progress of all callers at this host.
#[derive(Debug, Default)]
pub struct Contracts {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rates: CallerLimits,
    open: HashMap<Name, u32>,
}

/// One request in progress; dropping it ends it.
#[derive(Debug)]
pub struct Open<'a> {
    contracts: &'a Contracts,
    caller: Name,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let mut state = self.contracts.lock();
        let Some(open) = state.open.get_mut(&self.caller) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            state.open.remove(&self.caller);
        }
    }
}

impl Contracts {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Admits a request of `caller`, whose rate is shared by `hosts` hosts.
    ///
    /// # Errors
    ///
    /// [`Kind::RateLimited`] with the time after which there is room.
    pub fn admit(
        &self,
        caller: &Name,
        contract: &Caller,
        hosts: usize,
        now: Moment,
    ) -> Result<Open<'_>, Refusal> {
        let mut state = self.lock();
        let open = state.open.get(caller).copied().unwrap_or(0);
        if open >= contract.streams {
            let detail = format!("{caller} has {open} requests in progress at this host");
            let wait = std::time::Duration::from_secs(1);
            return Err(Refusal::new(Kind::RateLimited, detail).retry_after(wait));
        }
        let rate = contract.rate / hosts.max(1) as f64;
        let taken = state.rates.take(caller, rate, now);
        taken.map_err(|wait| {
            let detail = format!("{caller} may send {} requests a second", contract.rate);
            Refusal::new(Kind::RateLimited, detail).retry_after(wait)
        })?;
        *state.open.entry(caller.clone()).or_default() += 1;
        Ok(Open {
            contracts: self,
            caller: caller.clone(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_in_progress_and_rate_are_bounded() {
        let contracts = Contracts::default();
        let contract = Caller {
            streams: 1,
            rate: 10.0,
            ..Caller::default()
        };
        let name = Name::from("app");
        let now = Moment::from_secs(1);
        let open = contracts.admit(&name, &contract, 5, now);
        assert!(open.is_ok());
        let refused = contracts.admit(&name, &contract, 5, now).unwrap_err();
        assert_eq!(refused.kind, Kind::RateLimited);
        drop(open);
        let second = contracts.admit(&name, &contract, 5, now);
        assert!(second.is_ok());
        drop(second);
        let refused = contracts.admit(&name, &contract, 5, now).unwrap_err();
        assert!(
            refused.retry_after.is_some(),
            "a fifth of the rate is spent"
        );
    }
}
