package tulipshed.proxy;

/**
 * Opens server-side flows towards pool members; each front brings its own. What becomes of a flow is told to
 * {@link ProxyCore}, also where it cannot be opened at all.
 */
public interface UpstreamConnector {
    /** Starts the flow. Before its first byte is sent, {@link ProxyCore#mayForward} must allow it. */
    void open(Attempt attempt);

    /** Ends a flow of which nothing more is wanted; nothing is told of it from here on. */
    void abandon(Attempt attempt);

    /**
     * Whether flows must leave a member that drains: where each message is sent anew rather than on a
     * connection that stands, going on would be sending something new.
     */
    default boolean mustLeaveDrainingEndpoint() {
        return false;
    }
}
