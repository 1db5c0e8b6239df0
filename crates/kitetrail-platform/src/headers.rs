//! The HTTP headers that callers, entry boxes and endpoints exchange.

/// The id of a request. Kitetrail makes one up if the caller sends none, and the
/// endpoint must send it back.
pub const REQUEST_ID: &str = "x-request-id";
/// How much time is left for a request, in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// The key under which a call that must not be repeated runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set to `true` by a caller whose `POST` may safely run more than once.
pub const REPEATABLE: &str = "x-repeatable";
/// What an answer means: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Set to `true` by an endpoint that refused a request before running it.
pub const NOT_RUN: &str = "x-not-run";
