use crate::state::reservations::Reservations;
use crate::SECOND;

/// A round of placement that runs out of time may not renew a reservation. If the reservation began anew after that, it
/// would exclude other jobs for longer than it may.
#[test]
fn a_reservation_goes_on_unless_it_is_not_renewed_for_long() {
    let mut reservations = Reservations::default();
    assert_eq!(reservations.renew("n-1", 10 * SECOND), 0);
    assert_eq!(reservations.renew("n-1", 14 * SECOND), 4 * SECOND);
    assert_eq!(reservations.renew("n-2", 14 * SECOND), 0);
    reservations.remove_lapsed(19 * SECOND);
    assert_eq!(reservations.renew("n-1", 19 * SECOND), 9 * SECOND);
    assert_eq!(reservations.renew("n-1", 25 * SECOND), 0);
}
