//! Reads JSON. Texts are written with `format!`, since the stand-ins send fixed shapes.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Parses a text; `None` if it isn't JSON.
    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip_spaces();
        (parser.at == text.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns a text field; empty without one.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a number field.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the entries of a list field; none without one.
    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(entries)) => entries,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_spaces(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(expected.as_bytes()).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_spaces();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Value::Null),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let begin = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.0123456789eE".contains(b)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[begin..self.at]).ok()?.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code)?;
                            bytes.extend_from_slice(character.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take("[")?;
        let mut entries = Vec::new();
        self.skip_spaces();
        if self.take("]").is_some() {
            return Some(Value::List(entries));
        }
        loop {
            entries.push(self.value()?);
            self.skip_spaces();
            if self.take("]").is_some() {
                return Some(Value::List(entries));
            }
            self.take(",")?;
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take("{")?;
        let mut fields = Vec::new();
        self.skip_spaces();
        if self.take("}").is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_spaces();
            let name = self.text()?;
            self.skip_spaces();
            self.take(":")?;
            fields.push((name, self.value()?));
            self.skip_spaces();
            if self.take("}").is_some() {
                return Some(Value::Object(fields));
            }
            self.take(",")?;
        }
    }
}
