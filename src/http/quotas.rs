//! Limits on each caller's request rate and requests in progress at this host.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use crate::clock::Moment;
use crate::config::{Caller, Name};
use crate::decide::rate_limits::CallerLimits;
use crate::error::{Kind, Refusal};

/// Request rates and requests in progress of all callers at this host.
#[derive(Debug, Default)]
pub struct CallerQuotas {
    state: Mutex<QuotaState>,
}

#[derive(Debug, Default)]
struct QuotaState {
    rates: CallerLimits,
    /// Number of requests in progress by caller.
    active: HashMap<Name, u32>,
}

/// Permission for one request of a caller, which counts as in progress until
/// this is dropped.
#[derive(Debug)]
pub struct QuotaPermit<'a> {
    quotas: &'a CallerQuotas,
    caller: Name,
}

impl Drop for QuotaPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.quotas.lock();
        let Some(active) = state.active.get_mut(&self.caller) else {
            return;
        };
        *active -= 1;
        if *active == 0 {
            state.active.remove(&self.caller);
        }
    }
}

impl CallerQuotas {
    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Admits a request of `caller`, whose rate is divided by `hosts` hosts.
    ///
    /// # Errors
    ///
    /// [`Kind::RateLimited`] with the time after which to retry.
    pub fn admit(
        &self,
        caller: &Name,
        config: &Caller,
        hosts: usize,
        now: Moment,
    ) -> Result<QuotaPermit<'_>, Refusal> {
        let mut state = self.lock();
        let active = state.active.get(caller).copied().unwrap_or(0);
        if active >= config.streams {
            let detail = format!("{caller} has {active} requests in progress at this host");
            let wait = std::time::Duration::from_secs(1);
            return Err(Refusal::new(Kind::RateLimited, detail).retry_after(wait));
        }
        let rate = config.rate / hosts.max(1) as f64;
        let rate_check = state.rates.take(caller, rate, now);
        rate_check.map_err(|wait| {
            let detail = format!("{caller} may send {} requests a second", config.rate);
            Refusal::new(Kind::RateLimited, detail).retry_after(wait)
        })?;
        *state.active.entry(caller.clone()).or_default() += 1;
        Ok(QuotaPermit {
            quotas: self,
            caller: caller.clone(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_in_progress_and_rate_are_limited() {
        let quotas = CallerQuotas::default();
        let config = Caller {
            streams: 1,
            rate: 10.0,
            ..Caller::default()
        };
        let name = Name::from("app");
        let now = Moment::from_secs(1);
        let first = quotas.admit(&name, &config, 5, now);
        assert!(first.is_ok());
        let refused = quotas.admit(&name, &config, 5, now).unwrap_err();
        assert_eq!(refused.kind, Kind::RateLimited);
        drop(first);
        let second = quotas.admit(&name, &config, 5, now);
        assert!(second.is_ok());
        drop(second);
        let refused = quotas.admit(&name, &config, 5, now).unwrap_err();
        assert!(
            refused.retry_after.is_some(),
            "the fifth of the rate that one of 5 hosts grants is used up"
        );
    }
}
