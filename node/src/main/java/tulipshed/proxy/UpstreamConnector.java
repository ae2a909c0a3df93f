package tulipshed.proxy;

/**
 * Opens attempts at endpoints; each protocol frontend has its own. The connector reports the progress and the end of an
 * attempt to {@link ProxyCore}, even if it cannot be opened. Called on the event-loop thread only.
 */
public interface UpstreamConnector {
    /** Opens the attempt. Before its first byte is sent, {@link ProxyCore#mayForward} must allow it. */
    void open(Attempt attempt);

    /** Closes an attempt that is no longer needed; the connector reports nothing further about it. */
    void abandon(Attempt attempt);

    /**
     * Whether attempts must leave a draining endpoint. This holds for protocols that send each message separately rather than
     * on an established connection, as every further message would be new work for the endpoint.
     */
    default boolean mustLeaveDrainingEndpoint() {
        return false;
    }
}
