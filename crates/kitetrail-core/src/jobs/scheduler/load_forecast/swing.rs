//! A load that swings around a level with one period.

pub(super) type Matrix = [[f64; 3]; 3];

/// A load that swings around a level with one period.
#[derive(Debug, Clone, Copy)]
pub(super) struct Swing {
    /// The speed of the swing, in radians per second.
    pub(super) radians_per_s: f64,
    /// The level, the present deviation from it, and the deviation a quarter of a period later.
    pub(super) state: [f64; 3],
}

impl Swing {
    /// Returns the level around which the load swings.
    pub(super) fn level(&self) -> f64 {
        self.state[0]
    }

    /// Returns the load after some seconds.
    pub(super) fn level_after(&self, after_s: f64) -> f64 {
        let (sin, cos) = (self.radians_per_s * after_s).sin_cos();
        self.state[0] + self.state[1] * cos + self.state[2] * sin
    }

    /// Returns the same load as seen some seconds later.
    pub(super) fn after(self, after_s: f64) -> Self {
        let state = self
            .rotation(after_s)
            .map(|row| row.iter().zip(self.state).map(|(factor, value)| factor * value).sum());
        Self { state, ..self }
    }

    /// Returns the matrix that moves the state on by some seconds.
    pub(super) fn rotation(&self, after_s: f64) -> Matrix {
        let (sin, cos) = (self.radians_per_s * after_s).sin_cos();
        [[1.0, 0.0, 0.0], [0.0, cos, sin], [0.0, -sin, cos]]
    }
}
