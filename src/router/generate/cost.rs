//! Upper bound of the tokens that a generation uses.

use crate::router::refusal::Code;
use crate::router::refusal::Refusal;
use crate::router::refusal::Result;
use crate::router::request::Generation;
use crate::router::Target;

/// Maximum number of generated tokens if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Upper bound of the tokens that a generation uses.
#[derive(Clone, Copy)]
pub(super) struct Cost {
    pub(super) prompt: u32,
    pub(super) output: u32,
}

impl Cost {
    pub(super) fn total(self) -> u32 {
        self.prompt + self.output
    }
}

pub(super) fn cost(target: &Target, generation: &Generation) -> Result<Cost> {
    let model = &target.base_model;
    let output = generation
        .max_tokens
        .map_or_else(|| u64::from(DEFAULT_MAX_TOKENS).min(model.output_tokens), u64::from);
    if output > model.output_tokens {
        let message = format!("`max_tokens` may be {} for this model", model.output_tokens);
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    let prompt = model.prompt_bound(generation.prompt_bytes());
    let (total, limit) = (prompt.saturating_add(output), model.context_tokens);
    if total > limit {
        let message = format!("prompt and output may take {total} tokens, the model takes {limit}");
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    Ok(Cost { prompt: prompt as u32, output: output as u32 })
}
