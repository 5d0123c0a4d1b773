//! Reads the JSON bodies that the stand-ins get.

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|row| row.0 == name).map(|row| &row.1),
            _ => None,
        }
    }

    pub fn list(&self) -> Option<&[Json]> {
        match self {
            Json::List(rows) => Some(rows),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

/// Parses a JSON text; `None` if it is none.
pub fn parse(text: &str) -> Option<Json> {
    let mut rest = text.trim_start();
    let value = value(&mut rest)?;
    rest.trim().is_empty().then_some(value)
}

fn eat(rest: &mut &str, token: &str) -> bool {
    let trimmed = rest.trim_start();
    match trimmed.strip_prefix(token) {
        Some(after) => {
            *rest = after;
            true
        }
        None => {
            *rest = trimmed;
            false
        }
    }
}

fn value(rest: &mut &str) -> Option<Json> {
    *rest = rest.trim_start();
    match rest.chars().next()? {
        '{' => table(rest),
        '[' => list(rest),
        '"' => string(rest).map(Json::Text),
        't' => eat(rest, "true").then_some(Json::Bool(true)),
        'f' => eat(rest, "false").then_some(Json::Bool(false)),
        'n' => eat(rest, "null").then_some(Json::Null),
        _ => {
            let end = rest.find(|c: char| !"+-.eE0123456789".contains(c)).unwrap_or(rest.len());
            let (number, after) = rest.split_at(end);
            *rest = after;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn table(rest: &mut &str) -> Option<Json> {
    eat(rest, "{");
    let mut rows = Vec::new();
    if eat(rest, "}") {
        return Some(Json::Table(rows));
    }
    loop {
        *rest = rest.trim_start();
        let name = string(rest)?;
        if !eat(rest, ":") {
            return None;
        }
        rows.push((name, value(rest)?));
        if eat(rest, "}") {
            return Some(Json::Table(rows));
        }
        if !eat(rest, ",") {
            return None;
        }
    }
}

fn list(rest: &mut &str) -> Option<Json> {
    eat(rest, "[");
    let mut rows = Vec::new();
    if eat(rest, "]") {
        return Some(Json::List(rows));
    }
    loop {
        rows.push(value(rest)?);
        if eat(rest, "]") {
            return Some(Json::List(rows));
        }
        if !eat(rest, ",") {
            return None;
        }
    }
}

fn string(rest: &mut &str) -> Option<String> {
    let mut text = String::new();
    let mut chars = rest.strip_prefix('"')?.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => {
                *rest = &rest[1 + index + 1..];
                return Some(text);
            }
            '\\' => text.push(chars.next()?.1),
            c => text.push(c),
        }
    }
    None
}
