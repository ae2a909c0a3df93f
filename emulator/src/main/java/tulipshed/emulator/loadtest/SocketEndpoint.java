package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import tulipshed.decision.api.Outcome;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;

/** The sockets of one member: what nodes send it goes to the emulated member, and back. */
final class SocketEndpoint {
    private final int number;
    private final LoadTestRun run;
    private final Selector selector;
    private final ServerSocketChannel listener;

    SocketEndpoint(int number, LoadTestRun run, Selector selector) throws IOException {
        this.number = number;
        this.run = run;
        this.selector = selector;
        listener = ServerSocketChannel.open();
        listener.configureBlocking(false);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        listener.register(selector, SelectionKey.OP_ACCEPT, this);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    void accept() throws IOException {
        for (SocketChannel c = listener.accept(); c != null; c = listener.accept()) {
            run.countAcceptedConnection();
            // Its key in the selector keeps it.
            new LineConnection(c, selector, new Arriving(), true);
        }
    }

    void close() throws IOException {
        listener.close();
    }

    /** A connection whose first line has not come, and then that of its flow. */
    private final class Arriving implements LineConnection.Listener {
        private EmulatedAttempt flow;

        @Override
        public void line(LineConnection wire, String line) {
            if (flow != null) {
                if (!flow.ended && line.startsWith("M ") && run.isRunning(number)) {
                    wire.say(line);
                }
                return;
            }
            String[] words = line.split(" ");
            ClientRequest t =
                    words.length > 1 && words[0].equals("OPEN") ? run.requests().find(words[1]) : null;
            if (t == null && words.length > 1 && run.requests().isClosed(words[1])) {
                // Held on its way for longer than its client waited.
                wire.reset();
                return;
            }
            if (t == null) {
                run.unknownFirstLines().add(line);
                wire.sayAndClose("SYNTAX");
                return;
            }
            flow = run.nodeOf(t).dialled(t, number, wire);
        }

        @Override
        public void ended(LineConnection wire, boolean reset) {
            if (flow != null) {
                run.nodeOf(flow.request).closedByNode(flow);
            }
        }
    }

    /** What the emulated member made of a flow, in the member's own words. */
    static void end(EmulatedAttempt f, Outcome outcome) {
        LineConnection w = (LineConnection) f.policyState;
        if (w == null || w.over()) {
            return;
        }
        switch (outcome) {
            case FULL -> w.sayAndClose("BUSY");
            case OK -> w.sayAndClose("MOVE");
            case ERROR -> w.sayAndClose("ERR");
            default -> w.reset();
        }
    }
}
