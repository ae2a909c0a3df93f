package tulipshed.lineprotocol;

/**
 * What one client session holds in the frontend until it closes: a place among the clients, and the ID of its request.
 * Confined to the event-loop thread.
 */
final class ClientLease {
    private final LineProtocolFrontend frontend;
    private String requestId;
    private boolean isReleased;

    /** Takes a place among the clients. */
    ClientLease(LineProtocolFrontend frontend) {
        this.frontend = frontend;
        frontend.clientOpened();
    }

    /** Claims the ID of the client's request; false if another open request has it. */
    boolean claimId(String id) {
        if (!frontend.openRequestIds().claim(id)) {
            return false;
        }
        requestId = id;
        return true;
    }

    /** Releases the ID, if one was claimed; the place is kept. */
    void releaseId() {
        if (requestId != null) {
            frontend.openRequestIds().release(requestId);
            requestId = null;
        }
    }

    /** Releases the place; further calls do nothing. */
    void release() {
        if (!isReleased) {
            isReleased = true;
            frontend.clientClosed();
        }
    }
}
