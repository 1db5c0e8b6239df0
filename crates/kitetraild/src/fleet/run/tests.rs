use std::future;

use tokio::{
    runtime,
    task::{JoinSet, LocalSet},
};

use super::component_panicked;
use crate::daemon::DaemonError;

#[test]
fn a_component_that_panics_ends_the_process_and_one_that_ends_does_not() {
    let runtime = runtime::Builder::new_current_thread().build().unwrap();
    let error = runtime.block_on(LocalSet::new().run_until(async {
        let mut components = JoinSet::new();
        components.spawn_local(future::pending());
        components.spawn_local(async {});
        components.spawn_local(async { panic!("expected by the test") });
        component_panicked(&mut components).await
    }));
    assert!(matches!(error, DaemonError::ComponentPanicked(_)), "{error}");
}
