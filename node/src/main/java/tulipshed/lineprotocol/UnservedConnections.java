package tulipshed.lineprotocol;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import tulipshed.limits.Limits;

/**
 * The connections that hold a descriptor without being served: those whose open command has not arrived, and those that
 * linger after their last line. The oldest are evicted when descriptors run short, so that clients that connect and send
 * nothing cannot starve the others. Confined to the event-loop thread.
 */
final class UnservedConnections {
    private final Limits limits;
    private final Set<ClientSession> opening = new LinkedHashSet<>();
    private final Set<ClientSession> lingering = new LinkedHashSet<>();

    UnservedConnections(Limits limits) {
        this.limits = limits;
    }

    /** Adds a connection whose open command has not arrived; evicts the oldest such connection if there are too many. */
    void addOpening(ClientSession session) {
        if (opening.size() >= limits.maxUnopenedConnections()) {
            oldest(opening).evict();
        }
        opening.add(session);
    }

    /** Removes a session whose open command has arrived. */
    void removeOpening(ClientSession session) {
        opening.remove(session);
    }

    /**
     * Adds a session whose last line was sent; unless evicted, its connection stays open until the client has ended its output
     * or the linger timeout has expired.
     */
    void addLingering(ClientSession session) {
        opening.remove(session);
        lingering.add(session);
    }

    /** Removes a session whose connection was closed. */
    void remove(ClientSession session) {
        opening.remove(session);
        lingering.remove(session);
    }

    /** Tries to evict the next connection, which is kept if its open command has arrived; returns false if there is none. */
    boolean evictOne() {
        Optional<ClientSession> next = nextToEvict();
        next.ifPresent(ClientSession::evict);
        return next.isPresent();
    }

    /**
     * The next connection to evict: the oldest lingering one without queued bytes, else the oldest without an open command,
     * else the oldest lingering one.
     */
    private Optional<ClientSession> nextToEvict() {
        Stream<ClientSession> fullyWritten = lingering.stream().filter(session -> session.queuedBytes() == 0);
        return Stream.of(fullyWritten, opening.stream(), lingering.stream())
                .flatMap(Function.identity())
                .findFirst();
    }

    /** A copy of the sessions whose open command has not arrived, oldest first. */
    List<ClientSession> opening() {
        return List.copyOf(opening);
    }

    /** A copy of the sessions whose open command is overdue, oldest first. */
    List<ClientSession> overdue(double nowMs) {
        double timeoutMs = limits.lineProtocol().firstLineTimeoutMs();
        return opening.stream()
                .takeWhile(session -> nowMs - session.acceptedAtMs() >= timeoutMs)
                .toList();
    }

    private static ClientSession oldest(Set<ClientSession> sessions) {
        return sessions.iterator().next();
    }
}
