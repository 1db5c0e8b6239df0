//! The names of the HTTP headers used between callers, entry boxes and endpoints.

/// The id of a request. Kitetrail generates an id if the caller sends none, and the endpoint must
/// echo the id in its response.
pub const REQUEST_ID: &str = "x-request-id";
/// The remaining time of a request, in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// The key under which a non-idempotent call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set to `true` by a caller whose `POST` request can safely run more than once.
pub const REPEATABLE: &str = "x-repeatable";
/// The outcome of a request: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Set to `true` by an endpoint that rejected a request without running it.
pub const NOT_RUN: &str = "x-not-run";
