//! Minimal JSON parser.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    /// Null, true or false.
    Word,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = text(chars, at)?;
                        skip(chars, at);
                        if chars.get(*at)? != &':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(chars, at)?),
                }
            }
        }
        '"' => text(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| !matches!(c, ',' | '}' | ']') && !c.is_whitespace())
            {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" | "true" | "false" => Some(Json::Word),
                word => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn text(chars: &[char], at: &mut usize) -> Option<String> {
    if chars.get(*at)? != &'"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        out.push(
                            char::from_u32(u32::from_str_radix(&hex, 16).ok()?).unwrap_or('?'),
                        );
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}
