package tulipshed.emulator.loadtest;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What observers of links have seen at the nodes' ends, queued for the thread of the run. */
final class LinkEvents {
    private final RunClock clock;
    private final Queue<LinkEvent> events = new ConcurrentLinkedQueue<>();

    /**
     * A first line of a node on a connection to an endpoint, or the end of that connection.
     *
     * @param atMs when it was seen, in milliseconds of the run
     * @param connection identity of the connection
     * @param firstLine the line, null for an end
     */
    record LinkEvent(double atMs, int endpoint, Object connection, String firstLine) {
        boolean isEnd() {
            return firstLine == null;
        }
    }

    LinkEvents(RunClock clock) {
        this.clock = clock;
    }

    /** An observer of the link to an endpoint, for the thread of the links. */
    LinkObserver observerOf(int endpoint) {
        return new LinkObserver() {
            @Override
            public void onFirstLine(Object connection, String line) {
                events.add(new LinkEvent(clock.elapsedMs(), endpoint, connection, line));
            }

            @Override
            public void onClosed(Object connection) {
                events.add(new LinkEvent(clock.elapsedMs(), endpoint, connection, null));
            }
        };
    }

    /** The next event in the order in which they were seen, or null. */
    LinkEvent poll() {
        return events.poll();
    }
}
