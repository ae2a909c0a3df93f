package tulipshed.proxy;

/**
 * Opens server-side flows towards pool members; each front brings its own. What becomes of a flow is told to
 * {@link TransactionCore}, also where it cannot be opened at all.
 */
public interface MemberConnector {
    /** Starts the flow. Before its first byte is sent, {@link TransactionCore#maySend} must allow it. */
    void open(ServerSideFlow flow);

    /** Ends a flow of which nothing more is wanted; nothing is told of it from here on. */
    void giveUp(ServerSideFlow flow);

    /**
     * Whether flows must leave a member that drains: where each message is sent anew rather than on a
     * connection that stands, going on would be sending something new.
     */
    default boolean leavesDraining() {
        return false;
    }
}
