package tulipshed.quic;

/** What one connection counts for in {@link ConnectionAdmission}; each count ends once, whatever ends it first. */
final class SessionAdmission {
    private final ConnectionAdmission admission;
    private final QuicSession session;
    private boolean isAddressUnvalidated;
    private boolean isResumed;

    /** Counts nothing yet. */
    SessionAdmission(ConnectionAdmission admission, QuicSession session) {
        this.admission = admission;
        this.session = session;
    }

    /** The client's address is not validated. */
    void addressUnvalidated() {
        isAddressUnvalidated = true;
        admission.addressUnvalidated();
    }

    /** The client's address is validated, or does not matter any more. */
    void addressSettled() {
        if (isAddressUnvalidated) {
            admission.addressSettled();
        }
        isAddressUnvalidated = false;
    }

    /** The client's TLS ClientHello is incomplete. */
    void clientHelloStarted() {
        admission.clientHelloStarted();
    }

    /** The client's TLS ClientHello is complete, or not awaited any more. */
    void clientHelloEnded() {
        admission.clientHelloEnded();
    }

    /** The connection is resumed by its ID. */
    void resumed() {
        isResumed = true;
    }

    /** The endpoint has answered, or the connection has ended. */
    void confirmed() {
        if (isResumed) {
            admission.confirmed(session);
        }
    }
}
