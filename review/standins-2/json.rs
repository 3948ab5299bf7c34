//! A small JSON reader, and a writer of strings.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole text.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = read(&bytes, &mut at)?;
        skip(&bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(n) => Some(*n as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Returns a string in quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn take(text: &[char], at: &mut usize, c: char) -> Option<()> {
    skip(text, at);
    (text.get(*at) == Some(&c)).then(|| *at += 1)
}

fn read(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            if take(text, at, '}').is_some() {
                return Some(Json::Table(fields));
            }
            loop {
                skip(text, at);
                let name = read_text(text, at)?;
                take(text, at, ':')?;
                fields.insert(name, read(text, at)?);
                if take(text, at, ',').is_none() {
                    take(text, at, '}')?;
                    return Some(Json::Table(fields));
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            if take(text, at, ']').is_some() {
                return Some(Json::List(items));
            }
            loop {
                items.push(read(text, at)?);
                if take(text, at, ',').is_none() {
                    take(text, at, ']')?;
                    return Some(Json::List(items));
                }
            }
        }
        '"' => read_text(text, at).map(Json::Text),
        't' => word(text, at, "true", Json::Bool(true)),
        'f' => word(text, at, "false", Json::Bool(false)),
        'n' => word(text, at, "null", Json::Null),
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|c| "+-.eE0123456789".contains(*c))
            {
                *at += 1;
            }
            let number: String = text[start..*at].iter().collect();
            number.parse().ok().map(Json::Number)
        }
    }
}

fn word(text: &[char], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    for c in word.chars() {
        (text.get(*at) == Some(&c)).then(|| *at += 1)?;
    }
    Some(value)
}

fn read_text(text: &[char], at: &mut usize) -> Option<String> {
    (text.get(*at) == Some(&'"')).then(|| *at += 1)?;
    let mut out = String::new();
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let hex: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&hex, 16).ok()?;
                        out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                    }
                    other => out.push(other),
                }
            }
            c => out.push(c),
        }
    }
}
