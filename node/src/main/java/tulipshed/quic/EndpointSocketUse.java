package tulipshed.quic;

import java.util.ArrayDeque;
import java.util.BitSet;

/** Which upstream sockets the flows of one endpoint use, and which they have released. Times in milliseconds. */
final class EndpointSocketUse {
    /** The released sockets kept besides those in use, so that short flows do not take ever more sockets. */
    private static final int MAX_SPARE_RELEASED = 64;

    /** A released socket and when it was released. */
    private record ReleasedSocket(int socket, double releasedMs) {}

    /** Sockets in use, and released ones. */
    private final BitSet unavailable = new BitSet();

    /** Oldest first. */
    private final ArrayDeque<ReleasedSocket> released = new ArrayDeque<>();

    private int flowCount;

    /** A flow uses this socket. */
    void acquire(int socket) {
        unavailable.set(socket);
        flowCount++;
    }

    /** A flow has released this socket. */
    void release(int socket, double nowMs) {
        released.add(new ReleasedSocket(socket, nowMs));
        flowCount--;
    }

    /** Whether no flow uses this socket or has released it. */
    boolean isAvailable(int socket) {
        return !unavailable.get(socket);
    }

    /** Whether a socket is released. */
    boolean hasReleased() {
        return !released.isEmpty();
    }

    /** Whether a released socket can be used again: after the delay, or earlier where too many are released. */
    boolean hasReusable(double nowMs, double reuseDelayMs) {
        return !released.isEmpty()
                && (nowMs - released.peek().releasedMs >= reuseDelayMs
                        || released.size() > flowCount + MAX_SPARE_RELEASED);
    }

    /** Removes the socket that was released first. */
    int pollReleased() {
        return released.poll().socket;
    }

    /** Forgets released sockets that are not open any more. */
    void removeClosed(BitSet openSockets) {
        released.removeIf(entry -> {
            boolean isClosed = !openSockets.get(entry.socket);
            if (isClosed) {
                unavailable.clear(entry.socket);
            }
            return isClosed;
        });
    }

    /** Whether no socket is in use or released. */
    boolean isEmpty() {
        return flowCount == 0 && released.isEmpty();
    }

    /** Whether no socket is in use, and none was released within the delay. */
    boolean isUnused(double nowMs, double reuseDelayMs) {
        return flowCount == 0 && (released.isEmpty() || nowMs - released.peekLast().releasedMs >= reuseDelayMs);
    }
}
