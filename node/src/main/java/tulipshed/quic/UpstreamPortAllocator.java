package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Assigns upstream sockets to flows, as a NAT assigns ports (RFC 4787 section 4.2): a socket serves one flow of each endpoint,
 * so that a datagram received on it belongs to the flow of the address that sent it. As many sockets are needed as the endpoint
 * with the most flows has. Sockets have indexes from 0. Without I/O; times in milliseconds.
 */
final class UpstreamPortAllocator {
    private static final int INITIAL_CAPACITY = 16;

    private final double reuseDelayMs;
    private final Map<InetSocketAddress, EndpointSocketUse> endpoints = new HashMap<>();
    private final BitSet openSockets = new BitSet();

    /** The flows on each socket. */
    private int[] flowCounts = new int[INITIAL_CAPACITY];

    /** When a flow last released each socket. */
    private double[] releasedMs = new double[INITIAL_CAPACITY];

    /** A released socket is not assigned to the same endpoint for this long, as the endpoint may send to the flow before. */
    UpstreamPortAllocator(double reuseDelayMs) {
        this.reuseDelayMs = reuseDelayMs;
    }

    /**
     * Assigns a socket to one more flow of an endpoint.
     *
     * @param mayOpenSocket whether another socket may be opened; where not, one that was released too recently is assigned
     * @return the index of the socket, or -1
     */
    int acquire(InetSocketAddress endpoint, double nowMs, BooleanSupplier mayOpenSocket) {
        EndpointSocketUse use = endpoints.computeIfAbsent(endpoint, address -> new EndpointSocketUse());
        int socket = findSocket(use, nowMs, mayOpenSocket);
        if (socket < 0) {
            if (use.isEmpty()) {
                endpoints.remove(endpoint);
            }
            return -1;
        }
        use.acquire(socket);
        openSockets.set(socket);
        if (socket >= flowCounts.length) {
            flowCounts = Arrays.copyOf(flowCounts, 2 * socket);
            releasedMs = Arrays.copyOf(releasedMs, 2 * socket);
        }
        flowCounts[socket]++;
        return socket;
    }

    private int findSocket(EndpointSocketUse use, double nowMs, BooleanSupplier mayOpenSocket) {
        if (use.hasReusable(nowMs, reuseDelayMs)) {
            return use.pollReleased();
        }
        for (int socket = openSockets.nextSetBit(0); socket >= 0; socket = openSockets.nextSetBit(socket + 1)) {
            if (use.isAvailable(socket)) {
                return socket;
            }
        }
        if (mayOpenSocket.getAsBoolean()) {
            return openSockets.nextClearBit(0);
        }
        return use.hasReleased() ? use.pollReleased() : -1;
    }

    /** Releases the socket of a flow. */
    void release(InetSocketAddress endpoint, int socket, double nowMs) {
        endpoints.get(endpoint).release(socket, nowMs);
        flowCounts[socket]--;
        releasedMs[socket] = nowMs;
    }

    /** Counts sockets without flows as closed, except the first, once the reuse delay is over; returns their indexes. */
    List<Integer> closeUnused(double nowMs) {
        List<Integer> closed = new ArrayList<>();
        for (int socket = openSockets.nextSetBit(1); socket >= 0; socket = openSockets.nextSetBit(socket + 1)) {
            if (flowCounts[socket] == 0 && nowMs - releasedMs[socket] >= reuseDelayMs) {
                closed.add(socket);
            }
        }
        for (int socket : closed) {
            openSockets.clear(socket);
        }
        endpoints.values().removeIf(use -> {
            use.removeClosed(openSockets);
            return use.isUnused(nowMs, reuseDelayMs);
        });
        return closed;
    }

    /** How many sockets are open. */
    int socketCount() {
        return openSockets.cardinality();
    }

    /** For how many endpoints the use of sockets is remembered. */
    int endpointCount() {
        return endpoints.size();
    }
}
