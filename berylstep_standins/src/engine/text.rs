//! Deterministic text generation: each token depends only on the text before it.
//!
//! Any engine can therefore continue an answer exactly where another one stopped.

/// Size of a token in prompts and answers, in bytes.
pub const TOKEN_BYTES: usize = 8;

/// Size of a block in the prefix cache, in tokens.
pub const BLOCK_TOKENS: usize = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Running FNV-1a hash of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextState(u64);

impl TextState {
    /// Returns the state after `text`.
    pub fn after(text: &str) -> Self {
        let mut state = Self(FNV_OFFSET);
        state.push(text);
        state
    }

    /// Appends `text`.
    pub fn push(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Generates and appends the next token, which has [`TOKEN_BYTES`] bytes.
    pub fn next_token(&mut self) -> String {
        let token = format!("{:07x} ", mix_bits(self.0) >> 36);
        self.push(&token);
        token
    }

    /// Returns whether the text ends here, with probability 1/`mean_tokens`; never if that is 0.
    pub fn is_end(self, seed: u64, mean_tokens: u64) -> bool {
        mean_tokens > 0 && mix_bits(self.0 ^ mix_bits(seed)) % mean_tokens == 0
    }
}

/// Returns the chained hashes of all complete blocks of `text`.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(TOKEN_BYTES * BLOCK_TOKENS);
    let chained = blocks.scan(FNV_OFFSET, |state, block| {
        *state = block
            .iter()
            .fold(*state, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        Some(*state)
    });
    chained.collect()
}

/// Mixes the bits of `value` with the finaliser of SplitMix64.
fn mix_bits(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
