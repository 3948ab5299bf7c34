//! Validation of the settings, and of the sample settings and configurations.

use std::fs;
use std::path::{Path, PathBuf};

use mastichinge::config::validate::violations;
use mastichinge::config::{Config, jsonc, patch};
use mastichinge::settings::{Settings, SettingsError, load, parse};
use test_case::test_case;

fn sample_path(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("samples").join(name)
}

fn sample(name: &str) -> Settings {
    load(&sample_path(name)).unwrap_or_else(|err| panic!("{err}"))
}

fn invalid_paths(text: &str) -> Vec<String> {
    let Err(SettingsError::Invalid(errors)) = parse(text) else {
        panic!("accepted: {text}");
    };
    errors.iter().map(|e| e.path.to_string()).collect()
}

#[test_case("harrowby.jsonc", "harrowby")]
#[test_case("kunene.jsonc", "kunene")]
fn sample_settings_are_valid(name: &str, firm: &str) {
    let settings = sample(name);
    assert_eq!(&*settings.firm, firm);
    assert_eq!(settings.peers.len(), 5);
}

#[test]
fn the_error_names_every_missing_field() {
    let paths = invalid_paths("{ /* nothing */ }");
    for path in ["/firm", "/host", "/peer_key", "/peers", "/listen/callers"] {
        assert!(paths.iter().any(|p| p == path), "{path} in {paths:?}");
    }
}

#[test_case("{\"frim\": \"x\", \"listen\": {\"callers\": 5, \"oprators\": 1}}",
    &["/frim", "/listen/callers", "/listen/oprators"]; "unknown and wrong fields")]
#[test_case("{\"peers\": [{\"addr\": \"ten\"}, 3]}", &["/peers/0/addr", "/peers/1"]; "elements")]
#[test_case("{\"limits\": {\"head\": -1}, \"log\": []}", &["/limits/head", "/log"]; "sections")]
fn the_error_names_every_field_of_wrong_type_or_name(text: &str, expected: &[&str]) {
    assert_eq!(invalid_paths(text), expected);
}

#[test]
fn the_error_names_value_and_rule_and_redacts_keys() {
    let settings = Settings {
        firm: "f".into(),
        host: "h".into(),
        peer_key: "short".into(),
        ..sample("harrowby.jsonc")
    };
    let text = serde_json::to_string(&settings).unwrap();
    let text = text.replace("\"level\":\"info\"", "\"level\":\"loud\"");
    let error = parse(&text).unwrap_err().to_string();
    assert!(
        error.contains("/log/level = \"loud\": must be `error`"),
        "{error}"
    );
    assert!(error.contains("/peers"), "{error}");
    assert!(error.contains("/peer_key = (hidden)"), "{error}");
    assert!(!error.contains("short"), "{error}");
}

#[test_case("{"; "cut off")]
#[test_case("{} {}"; "two documents")]
fn malformed_text_is_rejected(text: &str) {
    assert!(matches!(parse(text), Err(SettingsError::Malformed(_))));
}

#[test]
fn the_error_names_a_missing_file() {
    let err = load(Path::new("/nowhere/settings.jsonc")).unwrap_err();
    assert!(err.to_string().contains("/nowhere/settings.jsonc"));
}

#[test_case("harrowby.config.jsonc", 13, 30, 55)]
#[test_case("kunene.config.jsonc", 16, 30, 65)]
fn sample_configurations_are_valid(name: &str, engines: usize, models: usize, adapters: usize) {
    let text = fs::read_to_string(sample_path(name)).unwrap();
    let document = jsonc::parse(&text).unwrap();
    let empty = Config::default();
    let config = patch::apply_patch(&empty, &document).unwrap();
    assert_eq!(violations(&empty, &config), []);
    assert_eq!(config.engines.len(), engines);
    let bases = config.models.values().filter(|m| m.base.is_none()).count();
    assert_eq!((bases, config.models.len() - bases), (models, adapters));
}
