//! Default parameters of placement by measured speed, and the tolerance for rounding errors.

/// Window of a machine's capacity, seconds: a capable machine finishes a task within it. It is the paper's lease after
/// its preparation allowance.
pub const CAPACITY_WINDOW_S: f64 = 120.0;

/// Speed of a machine without measurements, seconds of estimated work per second of allocation (design).
pub const START_SPEED: f64 = 1.0;

/// Weight of a new measurement in a machine's moving average: four or five tasks outweigh the earlier ones.
pub const SPEED_SMOOTHING_FACTOR: f64 = 0.2;

/// Upper bounds of the size bands for over-capacity placements, seconds of estimated work.
pub const SIZE_BANDS_S: [f64; 4] = [60.0, 120.0, 240.0, 480.0];

/// Tolerance for rounding errors in sums of decimal fractions, such as processors.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;
