//! The terms on which a queue takes part in the division of scarce room.

/// The priority up to which priorities differ in weight.
const LOWEST_WEIGHED_PRIORITY: u32 = 4;
/// The ratio of the weights of two queues whose priorities are adjacent. A caller of a queue of
/// priority 0 is left waiting only once a caller of priority 2 has a sixteenth of the room.
const WEIGHT_RATIO: f64 = 4.0;

/// The terms on which a queue takes part in the division of scarce room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClaimantTerms {
    /// The weight of the queue, relative to that of other queues. With a weight of 0 the queue gets
    /// what the others leave.
    pub weight: f64,
    /// The part of the fleet that the queue gets before anything is divided by weight, in percent.
    pub floor_percent: u8,
    /// The largest part of the fleet that the queue gets while others wait, in percent.
    pub ceiling_percent: u8,
    /// Whether the queue accepts jobs and starts none of their tasks.
    pub paused: bool,
}

impl ClaimantTerms {
    /// Returns the terms of a queue for which an operator has set none.
    pub fn of_priority(priority: u32) -> Self {
        let steps = LOWEST_WEIGHED_PRIORITY.saturating_sub(priority);
        Self {
            weight: WEIGHT_RATIO.powi(steps as i32),
            floor_percent: 0,
            ceiling_percent: 100,
            paused: false,
        }
    }
}

impl Default for ClaimantTerms {
    fn default() -> Self {
        Self::of_priority(0)
    }
}
