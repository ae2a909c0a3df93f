package tulipshed.lineprotocol;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import tulipshed.limits.Limits;

/**
 * The connections that take a descriptor without being served: those whose open command is awaited, and those that linger
 * after their final response. The oldest are evicted where descriptors run short, so that clients that connect and send
 * nothing cannot starve the others. Confined to the event-loop thread.
 */
final class UnservedConnections {
    private final Limits limits;
    private final Set<ClientSession> opening = new LinkedHashSet<>();
    private final Set<ClientSession> lingering = new LinkedHashSet<>();

    UnservedConnections(Limits limits) {
        this.limits = limits;
    }

    /** Adds a connection whose open command is awaited; evicts the oldest such one if there are too many. */
    void addOpening(ClientSession session) {
        if (opening.size() >= limits.maxUnopenedConnections()) {
            oldest(opening).evict();
        }
        opening.add(session);
    }

    /** The session's open command has arrived. */
    void openCommandReceived(ClientSession session) {
        opening.remove(session);
    }

    /** The session's last line was sent; its connection stays until the client has read it. */
    void lingers(ClientSession session) {
        opening.remove(session);
        lingering.add(session);
    }

    /** The session's connection was closed. */
    void remove(ClientSession session) {
        opening.remove(session);
        lingering.remove(session);
    }

    /** Evicts one connection; false if there is none. */
    boolean evictOne() {
        Optional<ClientSession> next = nextToEvict();
        next.ifPresent(ClientSession::evict);
        return next.isPresent();
    }

    /** The oldest of those to which all has been written, then of those that open, then of those that still read. */
    private Optional<ClientSession> nextToEvict() {
        Stream<ClientSession> drained = lingering.stream().filter(session -> session.queuedBytes() == 0);
        return Stream.of(drained, opening.stream(), lingering.stream())
                .flatMap(Function.identity())
                .findFirst();
    }

    /** Copy of the sessions whose open command is awaited, oldest first. */
    List<ClientSession> opening() {
        return List.copyOf(opening);
    }

    /** Copy of the sessions whose open command should have arrived by now, oldest first. */
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
