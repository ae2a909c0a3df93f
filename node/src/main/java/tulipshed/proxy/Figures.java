package tulipshed.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import tulipshed.decision.BalancerApi.RequestClass;

/** What a node has done since its start, counted where it became final. Read and written on the loop only. */
public final class Figures {
    private final Map<String, Replies> replies = new LinkedHashMap<>();
    private final Map<String, LongSupplier> more = new LinkedHashMap<>();
    private int concurrent;
    private long dispatches;
    private long reloadsTaken;
    private long reloadsTurnedDown;

    /** Final answers to the transactions of one class. */
    public static final class Replies {
        private long up;
        private long rejected;
        private long failed;

        public long up() {
            return up;
        }

        public long rejected() {
            return rejected;
        }

        public long failed() {
            return failed;
        }
    }

    /** Classes appear from the moment that the settings name them, at 0; one that is dropped keeps its counts. */
    void classes(List<RequestClass> named) {
        named.forEach(c -> replies.computeIfAbsent(c.name(), n -> new Replies()));
    }

    void taken() {
        concurrent++;
    }

    void ended() {
        concurrent--;
    }

    void up(Transaction t) {
        replies.get(t.className()).up++;
    }

    void rejected(Transaction t) {
        replies.get(t.className()).rejected++;
    }

    void failed(Transaction t) {
        replies.get(t.className()).failed++;
    }

    void dispatched() {
        dispatches++;
    }

    /** A new configuration was taken, or turned down. */
    public void reloaded(boolean taken) {
        if (taken) {
            reloadsTaken++;
        } else {
            reloadsTurnedDown++;
        }
    }

    /** A figure that a front counts by itself; another of the same name takes its place. */
    public void more(String name, LongSupplier figure) {
        more.put(name, figure);
    }

    /** Figures that fronts count by themselves. */
    public Map<String, LongSupplier> more() {
        return more;
    }

    /** By the name of the class. */
    public Map<String, Replies> replies() {
        return replies;
    }

    /** Transactions taken and not yet ended. */
    public int concurrent() {
        return concurrent;
    }

    /** Attempts written whole. */
    public long dispatches() {
        return dispatches;
    }

    public long reloadsTaken() {
        return reloadsTaken;
    }

    public long reloadsTurnedDown() {
        return reloadsTurnedDown;
    }
}
