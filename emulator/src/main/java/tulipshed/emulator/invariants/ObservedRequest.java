package tulipshed.emulator.invariants;

import java.util.Arrays;

/** One request that {@link NodeInvariants} follows, with the events that it has seen. */
public final class ObservedRequest {
    private static final int MAX_EVENTS = 24;

    final long id;
    final double deadlineMs;
    int answers;
    int attemptsInProgress;
    boolean clientLeft;
    private String[] events = new String[4];
    private int eventCount;

    ObservedRequest(long id, double deadlineMs) {
        this.id = id;
        this.deadlineMs = deadlineMs;
    }

    /** Whether it had a final answer. */
    public boolean answered() {
        return answers > 0;
    }

    void addEvent(double atMs, String what) {
        if (events == null || eventCount >= MAX_EVENTS) {
            return;
        }
        if (eventCount == events.length) {
            events = Arrays.copyOf(events, 2 * eventCount);
        }
        events[eventCount++] = Math.round(atMs * 10) / 10.0 + " " + what;
    }

    /** Forgets the events: those of an established connection are many and never printed. */
    void dropEvents() {
        events = null;
    }

    /** The events as the end of a violation's description; empty where they were dropped. */
    String trace() {
        return events == null
                ? ""
                : "; " + String.join(", ", Arrays.asList(events).subList(0, eventCount));
    }
}
