//! Parser for JSON with comments, the format of the files that operators write.

use std::collections::BTreeSet;

use jsonc_parser::ast;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde_json::Value;

use super::field_error::child_pointer;

/// Allows comments and trailing commas, and no other extension of JSON.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses JSON with comments; rejects objects with duplicate fields.
///
/// The error is one sentence that names the line and column, or the field.
pub fn parse(text: &str) -> Result<Value, String> {
    let root = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
    let root = root.map_err(|err| err.to_string())?;
    if let Some(root) = &root.value {
        reject_duplicates("", root)?;
    }
    parse_to_serde_value(text, &PARSE_OPTIONS).map_err(|err| err.to_string())
}

fn reject_duplicates(path: &str, value: &ast::Value<'_>) -> Result<(), String> {
    match value {
        ast::Value::Object(object) => {
            let mut seen = BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                let path = child_pointer(path, name);
                if !seen.insert(name) {
                    return Err(format!("the field {path} is given twice"));
                }
                reject_duplicates(&path, &property.value)?;
            }
        }
        ast::Value::Array(array) => {
            for (i, element) in array.elements.iter().enumerate() {
                reject_duplicates(&child_pointer(path, &i.to_string()), element)?;
            }
        }
        _ => {}
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use test_case::test_case;

    #[test]
    fn comments_and_trailing_commas_are_accepted() {
        assert_eq!(
            parse("{ /* a */ \"a\": [1,], } // b"),
            Ok(json!({ "a": [1] }))
        );
    }

    #[test_case("{ a: 1 }"; "name without quotes")]
    #[test_case("{ \"a\": 1 \"b\": 2 }"; "missing comma")]
    #[test_case("{ \"a\": 0x10 }"; "hexadecimal")]
    #[test_case("{ \"a\": 'x' }"; "single quotes")]
    #[test_case("{ \"a\": [{ \"b\": 1, \"b\": 2 }] }"; "field twice")]
    fn other_extensions_of_json_are_rejected(text: &str) {
        assert!(parse(text).is_err());
    }

    #[test]
    fn the_error_names_a_duplicate_field() {
        let err = parse("{ \"a\": [{ \"b\": 1, \"b\": 2 }] }").unwrap_err();
        assert!(err.contains("/a/0/b"), "{err}");
    }
}
