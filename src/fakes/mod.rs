//! Small stand-ins for engines, services and the platform, used by tests, the
//! quickstart, the fault run and the measuring program.
