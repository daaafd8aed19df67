//! Token bucket that limits how often one client may cause a kind of work.

/// Tokens of one client. Work that was already accepted is done without a token, so that the number of tokens may
/// fall below zero.
#[derive(Debug, Clone)]
pub struct Throttle {
    max_tokens: f64,
    tokens: f64,
}

impl Throttle {
    /// Creates a full bucket.
    pub fn new(max_tokens: f64) -> Self {
        Self { max_tokens, tokens: max_tokens }
    }

    /// Takes a token.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds tokens, up to the maximum.
    pub fn refill(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.max_tokens);
    }

    /// Returns whether no token is left.
    pub fn is_exhausted(&self) -> bool {
        self.tokens < 1.0
    }

    /// Returns whether no token is missing.
    pub fn is_full(&self) -> bool {
        self.tokens >= self.max_tokens
    }
}
