//! The little JSON that the store needs: fields of the transactions that gateways send.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    /// Returns a field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    /// Returns the elements of a list; none of any other value.
    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    let key = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    self.take(b',');
                }
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !self.take(b']') {
                    items.push(self.value()?);
                    self.take(b',');
                }
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let rest = &self.bytes[self.at..];
                let is_end = |byte: &u8| b",]} \r\n\t".contains(byte);
                let length = rest.iter().position(is_end).unwrap_or(rest.len());
                let word = std::str::from_utf8(&rest[..length]).ok()?;
                self.at += length;
                match word {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => bytes.push(other),
            }
        }
    }
}
