//! Settings and sample files: what is accepted, which reasons a refusal names.

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

fn refused_paths(text: &str) -> Vec<String> {
    let Err(SettingsError::Invalid(reasons)) = parse(text) else {
        panic!("accepted: {text}");
    };
    reasons.iter().map(|r| r.path.to_string()).collect()
}

#[test_case("harrowby.jsonc", "harrowby")]
#[test_case("kunene.jsonc", "kunene")]
fn sample_settings_load(name: &str, firm: &str) {
    let settings = sample(name);
    assert_eq!(&*settings.firm, firm);
    assert_eq!(settings.peers.len(), 5);
}

#[test]
fn every_missing_field_is_named() {
    let paths = refused_paths("{ /* nothing */ }");
    for path in ["/firm", "/host", "/peer_key", "/peers", "/listen/callers"] {
        assert!(paths.iter().any(|p| p == path), "{path} in {paths:?}");
    }
}

#[test_case("{\"frim\": \"x\", \"listen\": {\"callers\": 5, \"oprators\": 1}}",
    &["/frim", "/listen/callers", "/listen/oprators"]; "unknown and wrong fields")]
#[test_case("{\"peers\": [{\"addr\": \"ten\"}, 3]}", &["/peers/0/addr", "/peers/1"]; "elements")]
#[test_case("{\"limits\": {\"head\": -1}, \"log\": []}", &["/limits/head", "/log"]; "sections")]
fn every_wrong_field_is_named(text: &str, expected: &[&str]) {
    assert_eq!(refused_paths(text), expected);
}

#[test]
fn broken_rules_are_named_with_value_and_rule() {
    let settings = Settings {
        firm: "f".into(),
        host: "h".into(),
        peer_key: "short".into(),
        ..sample("harrowby.jsonc")
    };
    let text = serde_json::to_string(&settings).unwrap();
    let text = text.replace("\"level\":\"info\"", "\"level\":\"loud\"");
    let shown = parse(&text).unwrap_err().to_string();
    assert!(
        shown.contains("/log/level = \"loud\": must be `error`"),
        "{shown}"
    );
    assert!(shown.contains("/peers"), "{shown}");
    assert!(shown.contains("/peer_key = (hidden)"), "{shown}");
    assert!(!shown.contains("short"), "{shown}");
}

#[test_case("{"; "cut off")]
#[test_case("{} {}"; "two documents")]
fn malformed_text_is_refused(text: &str) {
    assert!(matches!(parse(text), Err(SettingsError::Malformed(_))));
}

#[test]
fn a_missing_file_is_named() {
    let err = load(Path::new("/nowhere/settings.jsonc")).unwrap_err();
    assert!(err.to_string().contains("/nowhere/settings.jsonc"));
}

#[test_case("harrowby.config.jsonc", 13, 30, 55)]
#[test_case("kunene.config.jsonc", 16, 30, 65)]
fn sample_configurations_keep_the_rules(
    name: &str,
    engines: usize,
    models: usize,
    adapters: usize,
) {
    let text = fs::read_to_string(sample_path(name)).unwrap();
    let document = jsonc::parse(&text).unwrap();
    let empty = Config::default();
    let config = patch::apply_patch(&empty, &document).unwrap();
    assert_eq!(violations(&empty, &config), []);
    assert_eq!(config.engines.len(), engines);
    let bases = config.models.values().filter(|m| m.base.is_none()).count();
    assert_eq!((bases, config.models.len() - bases), (models, adapters));
}
