//! Small fakes of engines, services and the platform, used by tests, the
//! quickstart, the fault injection run and the benchmark program.

pub mod engine;
pub mod firm;
pub mod platform;
pub mod server;
pub mod service;
pub mod shared;
pub mod site;
pub mod weights;

pub use engine::{EngineSettings, FakeEngine};
pub use platform::FakePlatform;
pub use service::FakeService;
pub use weights::{FakeWeights, StoreSettings};
