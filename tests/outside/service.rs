//! The fake plain service.

use std::net::SocketAddr;

use mastichinge::fakes::FakeService;
use mastichinge::fakes::service::Fault;
use mastichinge::outside::client::{self, BodyType};
use test_case::test_case;

use crate::support::any_port;

#[test_case(Fault::None, Ok(200), 1; "no fault")]
#[test_case(Fault::CloseBeforeRun, Err(true), 0; "dies before the run")]
#[test_case(Fault::CloseAfterRun, Err(true), 1; "dies during the run")]
fn a_service_records_each_run(fault: Fault, outcome: Result<u16, bool>, runs: usize) {
    let service = FakeService::start(any_port()).expect("a free port");
    service.state.change(|s| s.fault = fault);
    assert_eq!(book(service.addr), outcome);
    let state = service.state.get();
    assert_eq!(state.runs.len(), runs);
    for run in state.runs {
        assert_eq!(
            (&*run.key, &*run.path, &*run.body),
            ("k-1", "seats/7", &b"{}"[..])
        );
    }
}

#[test]
fn a_service_can_refuse_connections() {
    let mut service = FakeService::start(any_port()).expect("a free port");
    let addr = service.addr;
    service.set_refusing(true).expect("no work");
    assert_eq!(book(addr), Err(false));
    service.set_refusing(false).expect("the port is free again");
    assert_eq!(book(addr), Ok(200));
    assert_eq!(service.state.get().runs.len(), 1);
}

/// Sends a booking; returns the status, or whether any byte may have been sent.
fn book(addr: SocketAddr) -> Result<u16, bool> {
    let request = client::session()
        .post(format!("http://{addr}/seats/7"))
        .header("Idempotency-Key", "k-1");
    match client::send(request, BodyType::Json, b"{}") {
        Ok(response) => Ok(response.status().as_u16()),
        Err(error) => Err(error.maybe_sent()),
    }
}
