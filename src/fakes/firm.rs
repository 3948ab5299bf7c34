//! A site built from a complete configuration, at the size of a real firm.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use serde_json::Value;

use super::engine::{EngineSettings, FakeEngine};
use super::platform::FakePlatform;
use super::service::FakeService;
use super::site::{Site, SiteSettings};
use super::weights::{FakeWeights, StoreSettings};
use crate::config::Config;
use crate::outside::HostState;

/// Last octet of the address of the first engine.
const FIRST_ENGINE_OCTET: usize = 100;
/// Port of an engine.
const ENGINE_PORT: u16 = 7900;

/// Settings of a firm's site.
#[derive(Clone, Debug, Default)]
pub struct FirmSettings {
    /// Firm, network, number of daemons and their failure domains.
    pub site: SiteSettings,
    /// Configuration; the addresses of its engines are set by [`start`].
    pub config: Config,
    /// Limits of the weight store.
    pub store: StoreSettings,
    /// Settings shared by all engines; the others are taken from `config`.
    pub engine: EngineSettings,
}

/// Starts the platform and the engines, and activates `config` as version 1.
///
/// # Errors
///
/// Returns an error if an address is in use or the configuration is rejected.
pub fn start(mut settings: FirmSettings) -> io::Result<Site> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = FakePlatform::start(any, "")?;
    let weights = FakeWeights::new(settings.store);
    let [a, b, c] = settings.site.network;
    let mut engines = Vec::new();
    for (i, (name, engine)) in settings.config.engines.iter_mut().enumerate() {
        let octet = u8::try_from(FIRST_ENGINE_OCTET + i).map_err(io::Error::other)?;
        let addr = SocketAddr::from((Ipv4Addr::new(a, b, c, octet), ENGINE_PORT));
        engine.addr = addr.to_string().into();
        engines.push(FakeEngine::start(EngineSettings {
            name: name.to_string(),
            addr,
            key: engine.key.to_string(),
            memory: engine.memory,
            slots: engine.slots,
            fenced: engine.fenced,
            weights: weights.clone(),
            ..settings.engine.clone()
        })?);
    }
    let service = FakeService::start(settings.site.service_addr())?;
    let site = Site {
        settings: settings.site,
        platform,
        service,
        weights,
        engines,
    };
    let patch: Value = serde_json::to_value(&settings.config).map_err(io::Error::other)?;
    site.apply_first_config(patch).map_err(io::Error::other)?;
    for host in site.daemon_settings() {
        site.platform
            .set_host_state(&host.host, Some(HostState::Live));
    }
    Ok(site)
}
