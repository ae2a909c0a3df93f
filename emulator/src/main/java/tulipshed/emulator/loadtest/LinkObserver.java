package tulipshed.emulator.loadtest;

/** Observes the connections over one link as the node's end has them. Called on the thread of the links. */
public interface LinkObserver {
    /** The node has sent its first line, given without its end. */
    void onFirstLine(Object connection, String line);

    /** The node has closed the connection, or has been notified of its end. */
    void onClosed(Object connection);
}
