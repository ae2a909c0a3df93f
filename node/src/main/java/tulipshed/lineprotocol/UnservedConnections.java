package tulipshed.lineprotocol;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tulipshed.limits.Limits;

/**
 * The connections that take a descriptor without being served: those whose first line has not come, and those that
 * had their answer and have not ended yet. Clients that open hundreds and say nothing must not starve the others, so
 * the oldest give way.
 */
final class UnservedConnections {
    private final Limits limits;
    private final Set<ClientSession> opening = new LinkedHashSet<>();
    private final Set<ClientSession> answered = new LinkedHashSet<>();

    UnservedConnections(Limits limits) {
        this.limits = limits;
    }

    /** A connection was taken; its first line is awaited. */
    void opens(ClientSession session) {
        if (opening.size() >= limits.unopenedConnections()) {
            first(opening).evict();
        }
        opening.add(session);
    }

    /** Its first line came. */
    void opened(ClientSession session) {
        opening.remove(session);
    }

    /** It had its last line and may still read it. */
    void answered(ClientSession session) {
        opening.remove(session);
        answered.add(session);
    }

    void closed(ClientSession session) {
        opening.remove(session);
        answered.remove(session);
    }

    /** Closes the one that is missed least, if there is one. */
    boolean evictOne() {
        if (answered.isEmpty() && opening.isEmpty()) {
            return false;
        }
        first(answered.isEmpty() ? opening : answered).evict();
        return true;
    }

    /** Those whose first line has not come. */
    List<ClientSession> opening() {
        return List.copyOf(opening);
    }

    /** Those whose first line should have come by now. */
    List<ClientSession> overdue(double nowMs) {
        List<ClientSession> late = new ArrayList<>();
        for (ClientSession s : opening) {
            if (nowMs - s.sinceMs() < limits.lineProtocol().firstLineTimeoutMs()) {
                break;
            }
            late.add(s);
        }
        return late;
    }

    private static ClientSession first(Set<ClientSession> of) {
        Iterator<ClientSession> all = of.iterator();
        return all.next();
    }
}
