//! Retry budget: retries as a ratio of admitted requests.

/// Most retries that a quiet time saves up.
const MOST: f64 = 10.0;

/// A budget that first tries fill and retries use up.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    most: f64,
    credit: f64,
}

impl RetryBudget {
    /// A full budget that gains `ratio` retries with each admitted request.
    pub fn new(ratio: f64) -> Self {
        RetryBudget { ratio, most: MOST, credit: MOST }
    }

    /// The same budget, full, with `most` retries saved up at most.
    pub fn with_capacity(self, most: f64) -> Self {
        RetryBudget { most, credit: most, ..self }
    }

    /// The same budget, with nothing saved up.
    pub fn without_credit(self) -> Self {
        RetryBudget { credit: 0.0, ..self }
    }

    /// Changes how many retries may be saved up.
    pub fn set_capacity(&mut self, most: f64) {
        self.most = most;
        self.credit = self.credit.min(most);
    }

    /// Counts an admitted first try.
    pub fn admit(&mut self) {
        self.credit = (self.credit + self.ratio).min(self.most);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
