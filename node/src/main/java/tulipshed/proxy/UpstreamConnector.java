package tulipshed.proxy;

/**
 * Opens attempts towards endpoints; each protocol frontend has its own. The connector reports what becomes of an attempt to
 * {@link ProxyCore}, also where it cannot be opened at all. Called on the event-loop thread only.
 */
public interface UpstreamConnector {
    /** Opens the attempt. Before its first byte is sent, {@link ProxyCore#mayForward} must allow it. */
    void open(Attempt attempt);

    /** Closes an attempt that is no longer needed; the connector reports nothing more of it. */
    void abandon(Attempt attempt);

    /**
     * Whether attempts must leave an endpoint that drains: so where each message is sent anew, rather than on an established
     * connection, and to go on would be to send something new.
     */
    default boolean mustLeaveDrainingEndpoint() {
        return false;
    }
}
