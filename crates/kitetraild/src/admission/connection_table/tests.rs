use std::{rc::Rc, thread, time::Duration};

use tokio::{runtime, time};

use super::{Connection, ConnectionTable};

/// A time after which clocks differ.
const MOMENT: Duration = Duration::from_millis(2);

fn is_closed(connection: &Connection) -> bool {
    let runtime = runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async { time::timeout(MOMENT, connection.closed()).await.is_ok() })
}

fn connect(table: &Rc<ConnectionTable>) -> Option<Rc<Connection>> {
    thread::sleep(MOMENT);
    table.make_room().then(|| table.insert())
}

#[test]
fn the_longest_idle_connection_is_closed_at_the_limit() {
    let table = ConnectionTable::new(3);
    let connections = [(); 3].map(|()| connect(&table).unwrap());
    thread::sleep(MOMENT);
    drop(connections[0].begin_request());
    let newest = connect(&table).unwrap();
    let closed = connections.each_ref().map(|connection| is_closed(connection));
    assert_eq!(closed, [false, true, false]);
    assert!(!is_closed(&newest));
    drop(connections);
    assert_eq!(table.open(), 1);
}

#[test]
fn connections_with_a_request_are_closed_last_and_never_before_its_response() {
    let table = ConnectionTable::new(2);
    let (answered, receiving) = (connect(&table).unwrap(), connect(&table).unwrap());
    let _answering = answered.begin_request();
    answered.record_received();
    let _receiving = receiving.begin_request();
    let newest = connect(&table).unwrap();
    assert!(is_closed(&receiving) && !is_closed(&answered));
    let _answering_newest = newest.begin_request();
    newest.record_received();
    assert!(connect(&table).is_none());
    assert_eq!(table.evictions(), 1);
}
