//! Percent-encoding of path segments; decoding of path segments and query values.

use std::fmt::Write;

/// Encodes `name` as one path segment; `/` is encoded too.
pub fn encode(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            text.push(char::from(byte));
            continue;
        }
        let _ = write!(text, "%{byte:02X}");
    }
    text
}

/// Decodes a path segment or query value; bytes that are not UTF-8 are replaced.
pub fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        let code = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        rest = match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                &tail[2..]
            }
            (b'+', _) => {
                bytes.push(b' ');
                tail
            }
            _ => {
                bytes.push(first);
                tail
            }
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[cfg(test)]
mod tests {
    use test_case::test_case;

    use super::{decode, encode};

    #[test_case("pool/drafting"; "slash")]
    #[test_case("call/a b/100%+é?"; "reserved")]
    #[test_case(".."; "dots")]
    fn decode_reverses_encode(name: &str) {
        let text = encode(name);
        assert!(!text.contains(['/', '?', '+', ' ']));
        assert_eq!(decode(&text), name);
    }
}
