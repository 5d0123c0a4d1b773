//! A small reader of JSON, enough for the replies to heartbeats.

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(rows) = self else { return None };
        rows.iter().find(|row| row.0 == name).map(|row| &row.1)
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(rows) = self { rows } else { &[] }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }
}

/// Parses a text; `None` if it is not JSON.
pub fn parse(text: &str) -> Option<Json> {
    let mut at = 0;
    value(text.as_bytes(), &mut at)
}

fn skip(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            let mut rows = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = value(text, at)? else { return None };
                        skip(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        rows.push((name, value(text, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Table(rows))
        }
        b'[' => {
            let mut rows = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => rows.push(value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(rows))
        }
        b'"' => {
            *at += 1;
            let mut bytes = Vec::new();
            while *text.get(*at)? != b'"' {
                if text[*at] == b'\\' {
                    *at += 1;
                }
                bytes.push(*text.get(*at)?);
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8(bytes).ok()?))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < text.len() && b"+-.eE0123456789".contains(&text[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}
