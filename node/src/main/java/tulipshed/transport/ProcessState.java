package tulipshed.transport;

/** Lifecycle state of a process of the node. The shared file stores the ordinal, so the order must not change. */
enum ProcessState {
    /** No process uses the slot. */
    NONE,
    /** The process does not accept clients yet. */
    STARTING,
    /** The process accepts clients. */
    SERVING,
    /** The process is shutting down. */
    LEAVING,
    /**
     * The state cannot be determined: the slot contains an undefined number, cannot be read, or contains {@link #NONE}
     * although its process is alive. Never written.
     */
    UNKNOWN;

    private static final ProcessState[] BY_CODE = values();

    /** Number stored in the shared file. */
    int code() {
        return ordinal();
    }

    /** Returns the state with that number in the shared file, or {@link #UNKNOWN}. */
    static ProcessState ofCode(int code) {
        return code < 0 || code >= BY_CODE.length ? UNKNOWN : BY_CODE[code];
    }
}
