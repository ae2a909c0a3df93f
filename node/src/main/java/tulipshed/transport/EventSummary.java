package tulipshed.transport;

/** The events of one kind since the last log line, as one line: how many there were, and the reason of the last one. */
final class EventSummary {
    private final String eventName;
    private int count;
    private String lastReason = "";

    /** No events; lines begin with {@code eventName}. */
    EventSummary(String eventName) {
        this.eventName = eventName;
    }

    /** Counts one event. */
    void add(String reason) {
        count++;
        lastReason = reason;
    }

    /** Whether there were no events since the last line. */
    boolean isEmpty() {
        return count == 0;
    }

    /** The line for all events since the last one; the count starts again at 0. */
    String takeLine() {
        String line = eventName + ": " + count + ", last: " + lastReason;
        count = 0;
        return line;
    }
}
