package tulipshed.transport;

/** Summary of the events of one kind since the last log line: their number and the reason of the last one. */
final class EventSummary {
    private final String eventName;
    private int count;
    private String lastReason = "";

    /** Creates an empty summary; lines begin with {@code eventName}. */
    EventSummary(String eventName) {
        this.eventName = eventName;
    }

    /** Counts one event. */
    void add(String reason) {
        count++;
        lastReason = reason;
    }

    /** Whether no events occurred since the last line. */
    boolean isEmpty() {
        return count == 0;
    }

    /** Returns the line for all events since the last one and resets the count to 0. */
    String takeLine() {
        String line = eventName + ": " + count + ", last: " + lastReason;
        count = 0;
        return line;
    }
}
