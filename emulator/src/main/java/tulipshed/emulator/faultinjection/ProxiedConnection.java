package tulipshed.emulator.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import tulipshed.emulator.faultinjection.PendingDelivery.StreamEnd;

/**
 * One connection over a link: the node's socket, the socket to the link's target, and in each direction what has been
 * read and not yet passed on. Confined to the proxy's thread.
 */
final class ProxiedConnection {
    private static final int MAX_FIRST_LINE_BYTES = 4096;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ProxiedLink link;
    private final FaultInjectionProxy proxy;
    private final ProxiedSocket nodeSocket;

    /** Null where new connections of the link receive nothing. */
    private final ProxiedSocket targetSocket;

    private final long number;
    private final StringBuilder firstLine = new StringBuilder();
    private long firstLineRound = -1;
    private boolean isFirstLineReported;
    private boolean isCloseReported;

    /** Passes an accepted connection on to an address, or nowhere where that is null. */
    ProxiedConnection(ProxiedLink link, FaultInjectionProxy proxy, SocketChannel accepted, InetSocketAddress target)
            throws IOException {
        this.link = link;
        this.proxy = proxy;
        number = proxy.nextConnectionNumber();
        nodeSocket = new ProxiedSocket(accepted, false, proxy.selector(), this);
        if (target == null) {
            targetSocket = null;
            return;
        }
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        targetSocket = new ProxiedSocket(channel, !channel.connect(target), proxy.selector(), this);
    }

    /** Whether the connection was accepted while the link was a black hole, so that nobody receives what it sends. */
    boolean isUnconnected() {
        return targetSocket == null;
    }

    /** Handles the readiness of either socket. */
    void onReady() {
        try {
            if (targetSocket != null) {
                targetSocket.finishConnect();
            }
        } catch (IOException e) {
            // Refused, as a process that is not there refuses.
            reset(false);
            return;
        }
        read(nodeSocket);
        if (targetSocket != null) {
            read(targetSocket);
        }
        nodeSocket.unblockIfWritable();
        if (targetSocket != null) {
            targetSocket.unblockIfWritable();
        }
        deliver();
    }

    private void read(ProxiedSocket from) {
        if (!from.isReadable()) {
            return;
        }
        ByteBuffer buffer = proxy.readBuffer();
        StreamEnd end = from.read(buffer);
        if (from == nodeSocket && buffer.hasRemaining()) {
            readFirstLine(buffer.duplicate());
        }
        ProxiedSocket to = from == nodeSocket ? targetSocket : nodeSocket;
        if (buffer.hasRemaining()) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            enqueue(to, PendingDelivery.ofBytes(bytes, dueNs(to)));
        }
        if (end != StreamEnd.NONE) {
            enqueue(to, PendingDelivery.ofEnd(end, dueNs(to)));
            if (from == nodeSocket) {
                reportClosed();
            }
        }
        from.updateInterest(to);
    }

    private long dueNs(ProxiedSocket to) {
        LinkState state = link.state();
        double latencyMs =
                state.latencyMs() + (state.jitterMs() > 0 ? state.jitterMs() * proxy.nextRandomFraction() : 0);
        long dueNs = System.nanoTime() + (long) (latencyMs * NANOS_PER_MILLI);
        return to == null ? dueNs : to.earliestDueNs(dueNs);
    }

    private void enqueue(ProxiedSocket to, PendingDelivery delivery) {
        if (to != null) {
            to.enqueue(delivery);
        } else if (delivery.end() != StreamEnd.NONE) {
            reset(false);
        }
    }

    /** Passes on what is due, unless the link holds it. */
    void deliver() {
        if (targetSocket == null) {
            return;
        }
        if (!link.state().holdsOutbound()) {
            deliverTo(targetSocket);
        }
        if (!link.state().holdsInbound()) {
            deliverTo(nodeSocket);
        }
        nodeSocket.updateInterest(targetSocket);
        targetSocket.updateInterest(nodeSocket);
        if (nodeSocket.isDone() && targetSocket.isDone()) {
            close();
        }
    }

    private void deliverTo(ProxiedSocket to) {
        if (!to.isConnected()) {
            return;
        }
        long nowNs = System.nanoTime();
        for (PendingDelivery next = to.nextDue(nowNs); next != null; next = to.nextDue(nowNs)) {
            try {
                if (!isDelivered(next, to, nowNs)) {
                    return;
                }
            } catch (IOException e) {
                // The reader has gone: what it still sends is of no use to anybody either.
                reset(false);
                return;
            }
            to.removeFirst();
        }
    }

    private boolean isDelivered(PendingDelivery next, ProxiedSocket to, long nowNs) throws IOException {
        if (next.bytes() != null) {
            if (!to.write(next)) {
                return false;
            }
            proxy.recordLateness(nowNs - Math.max(next.dueNs(), link.stateSinceNs()));
            return true;
        }
        if (next.end() == StreamEnd.RESET) {
            reset(false);
            return false;
        }
        to.shutdownOutput();
        if (to == nodeSocket) {
            // The node is notified of the end of its attempt.
            reportClosed();
        }
        return true;
    }

    private void readFirstLine(ByteBuffer received) {
        if (isFirstLineReported || link.observer() == null) {
            return;
        }
        firstLine.append(StandardCharsets.ISO_8859_1.decode(received));
        int end = firstLine.indexOf("\n");
        if (end >= 0 || firstLine.length() > MAX_FIRST_LINE_BYTES) {
            isFirstLineReported = true;
            String line = end >= 0 ? firstLine.substring(0, end).strip() : "";
            firstLine.setLength(0);
            firstLineRound = proxy.round();
            proxy.reportStart(number, false, () -> link.observer().onFirstLine(this, line));
        }
    }

    private void reportClosed() {
        if (isCloseReported || link.observer() == null) {
            return;
        }
        isCloseReported = true;
        Runnable report = () -> link.observer().onClosed(this);
        if (firstLineRound == proxy.round()) {
            proxy.reportStart(number, true, report);
        } else {
            proxy.reportEnd(report);
        }
    }

    /** Resets both sockets; {@code midLine} delivers half of the first bytes that wait at each before. */
    void reset(boolean midLine) {
        prepareReset(nodeSocket, midLine);
        if (targetSocket != null) {
            prepareReset(targetSocket, midLine);
        }
        reportClosed();
        close();
    }

    private static void prepareReset(ProxiedSocket socket, boolean midLine) {
        try {
            if (midLine) {
                socket.writeHalfOfFirst();
            }
            socket.resetOnClose();
        } catch (IOException e) {
            // It has ended by itself.
        }
    }

    private void close() {
        nodeSocket.close();
        if (targetSocket != null) {
            targetSocket.close();
        }
        link.remove(this);
    }
}
