package tulipshed.transport;

/** How far a process of the node has come. The shared file holds the ordinal, so the order must not change. */
enum ProcessState {
    /** No process uses the slot. */
    NONE,
    /** The process does not accept clients yet. */
    STARTING,
    /** The process accepts clients. */
    SERVING,
    /** The process is shutting down. */
    LEAVING,
    /** What the slot holds is none of the numbers above; never written. */
    UNKNOWN;

    private static final ProcessState[] BY_CODE = values();

    /** The number in the shared file. */
    int code() {
        return ordinal();
    }

    /** The state with that number in the shared file, or {@link #UNKNOWN}. */
    static ProcessState ofCode(int code) {
        return code < 0 || code >= BY_CODE.length ? UNKNOWN : BY_CODE[code];
    }
}
