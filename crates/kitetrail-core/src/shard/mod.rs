//! The ownership of a shard and the scheduling decisions of its owner.

mod event;
mod lease;
mod ledger;
mod machine;
mod owner;
mod pending_commit;
mod settings;
mod view;
mod worker_state;

pub use event::{Action, Decision, EndpointSet, Event, PlacedEndpoint};
pub use lease::LeaseRow;
pub use ledger::{Grant, Ledger};
pub use machine::Shard;
pub use settings::ShardSettings;
pub use view::ShardView;
