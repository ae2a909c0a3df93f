package tulipshed.lineprotocol;

/**
 * The resources that one client session holds in the frontend until it closes: a slot in the count of clients and the ID of
 * its request. Confined to the event-loop thread.
 */
final class ClientRegistration {
    private final LineProtocolFrontend frontend;
    private String requestId;
    private boolean isReleased;

    /** Counts the client with the frontend. */
    ClientRegistration(LineProtocolFrontend frontend) {
        this.frontend = frontend;
        frontend.clientOpened();
    }

    /** Claims the ID of the client's request; returns false if another open request has it. */
    boolean claimId(String id) {
        if (!frontend.openRequestIds().claim(id)) {
            return false;
        }
        requestId = id;
        return true;
    }

    /**
     * Releases the ID, if one was claimed; the client slot is kept.
     *
     * @param forbidsRepetition whether the ID must not be claimed again for some time
     */
    void releaseId(boolean forbidsRepetition) {
        if (requestId != null) {
            if (forbidsRepetition) {
                frontend.openRequestIds().retain(requestId);
            } else {
                frontend.openRequestIds().release(requestId);
            }
            requestId = null;
        }
    }

    /** Releases the client slot; further calls do nothing. */
    void releaseSlot() {
        if (!isReleased) {
            isReleased = true;
            frontend.clientClosed();
        }
    }
}
