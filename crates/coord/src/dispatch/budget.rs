//! Retry budget: a token bucket that limits retries to a ratio of the admitted requests.

/// Retries that may accumulate by default.
const DEFAULT_CAPACITY: f64 = 10.0;

/// A budget that first attempts replenish and retries consume.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    credit: f64,
}

impl RetryBudget {
    /// A full budget that each admitted request replenishes by `ratio` retries.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio, capacity: DEFAULT_CAPACITY, credit: DEFAULT_CAPACITY }
    }

    /// The budget with at most `capacity` accumulated retries, full.
    pub fn with_capacity(self, capacity: f64) -> Self {
        RetryBudget { capacity, credit: capacity, ..self }
    }

    /// The budget with no accumulated retries.
    pub fn without_credit(self) -> Self {
        RetryBudget { credit: 0.0, ..self }
    }

    /// Changes how many retries may accumulate; the credit drops to `capacity` if it is above it.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.credit = self.credit.min(capacity);
    }

    /// Replenishes the budget for an admitted first attempt.
    pub fn admit(&mut self) {
        self.credit = (self.credit + self.ratio).min(self.capacity);
    }

    /// Consumes one retry; `false` when less than one is left.
    pub fn take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
