//! Small JSON reader and writer; numbers keep their text.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = read(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Num(text)) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn items(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::Arr(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(text) => write!(f, "{text}"),
            Json::Str(text) => write!(f, "{}", quote(text)),
            Json::Arr(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Obj(fields) => {
                write!(f, "{{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{}:{value}", quote(key))?;
                }
                write!(f, "}}")
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Obj(fields));
                }
                let key = read_text(bytes, at)?;
                skip(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((key, read(bytes, at)?));
                skip(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::Arr(items));
                }
                items.push(read(bytes, at)?);
                skip(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => read_text(bytes, at).map(Json::Str),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "" => None,
                number => Some(Json::Num(number.to_owned())),
            }
        }
    }
}

fn read_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => out.push(byte),
        }
    }
}
