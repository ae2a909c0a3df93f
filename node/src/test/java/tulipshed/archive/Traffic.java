package tulipshed.archive;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.demo.StubDiscovery;
import tulipshed.quic.QuicExchange;
import tulipshed.testing.LoopbackSockets;

/**
 * Exchanges of every kind between clients, a node, endpoints and discovery, on loopback. For one thread.
 */
final class Traffic implements AutoCloseable {
    private static final int ENDPOINTS = 5;
    private static final List<String> ZONES = List.of("decin", "usti", "melnik", "decin", "usti");
    private static final int PATIENT_MS = 2000;
    private static final int SHORT_MS = 150;
    private static final int MAX_OPENS_UNTIL_REJECTED = 1000;

    /** An attempt at an endpoint that is silent ends within this deadline, and a second one is made. */
    private static final int RETRY_MS = 1500;

    private final StubDiscovery discovery = new StubDiscovery();
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private InetSocketAddress node;
    private InetSocketAddress quic;
    private int managementPort;
    private TrafficClient lastClient;

    /** One kind of exchange. */
    interface Exchange {
        /** Plays it; throws where a reply is not the expected one. */
        void play() throws IOException;
    }

    Traffic() throws IOException {
        Set<String> attemptedKeys = ScriptedEndpoint.newKeySet();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new ScriptedEndpoint(i + 1, attemptedKeys));
            publish(i, "SERVING");
        }
    }

    InetSocketAddress discoveryAddress() {
        return discovery.address();
    }

    /** Sets where the node listens. */
    void node(InetSocketAddress clients, InetSocketAddress quicAddress, int management) {
        node = clients;
        quic = quicAddress;
        managementPort = management;
    }

    private void publish(int endpoint, String state) {
        ScriptedEndpoint published = endpoints.get(endpoint);
        discovery.publish(published.id(), published.address(), ZONES.get(endpoint), "std-2c", state);
    }

    /** Returns the kinds in the order in which they are played. */
    Map<String, Exchange> exchanges() {
        Map<String, Exchange> exchanges = new LinkedHashMap<>();
        exchanges.put("ping", this::ping);
        exchanges.put("open", this::openUntilShutdown);
        exchanges.put("messages, close by the client", () -> openAndEcho("serve", ""));
        exchanges.put("open of a group", () -> openAndEcho("grouped", ",g=archive"));
        exchanges.put("open again", () -> openAndEcho("again", ",again=1,r=1"));
        exchanges.put("open by a rule", () -> openAndEcho("ruled", ",containers=60"));
        exchanges.put("load report", () -> openAndEcho("load", ""));
        exchanges.put("close by the endpoint", () -> openUntilEndpointCloses("bye"));
        exchanges.put("MOVE by the endpoint", () -> openUntilEndpointCloses("move"));
        exchanges.put("QUIC Initial", this::openQuic);
        exchanges.put("management", this::readManagement);
        exchanges.put("malformed line", this::sendMalformedLine);
        exchanges.put("retry after BUSY", () -> openAndEcho("busy", ""));
        exchanges.put("retry after a refused connection", this::refuseConnection);
        exchanges.put("drain", this::drain);
        exchanges.put("BUSY without endpoints", this::rejectWithoutEndpoints);
        exchanges.put("cancellation", this::cancel);
        exchanges.put("deadline", this::missDeadline);
        exchanges.put("reset", () -> openWithAnyReply("reset", PATIENT_MS));
        exchanges.put("silence", () -> openWithAnyReply("silence", RETRY_MS));
        exchanges.put("ERR", () -> openWithAnyReply("err", PATIENT_MS));
        exchanges.put("discovery fails", this::failDiscovery);
        return exchanges;
    }

    private void ping() throws IOException {
        try (TrafficClient client = new TrafficClient(node)) {
            client.send("PING");
            client.expect("PONG");
        }
    }

    private void openAndEcho(String key, String more) throws IOException {
        try (TrafficClient client = TrafficClient.open(node, key + "-1", PATIENT_MS, more)) {
            client.expect("UP");
            client.send("M 1");
            client.expect(key.equals("load") ? "LOAD" : "M 1");
        }
    }

    private void openWithAnyReply(String key, int deadlineMs) throws IOException {
        try (TrafficClient client = TrafficClient.open(node, key + "-1", deadlineMs, "")) {
            client.expect("");
        }
    }

    private void cancel() throws IOException {
        TrafficClient.open(node, "silence-2", PATIENT_MS, "").close();
    }

    private void missDeadline() throws IOException {
        openWithAnyReply("silence-of", SHORT_MS);
    }

    private void sendMalformedLine() throws IOException {
        try (TrafficClient client = new TrafficClient(node)) {
            client.send("OPEN one");
            client.expect("ERR");
        }
    }

    private void openUntilEndpointCloses(String key) throws IOException {
        try (TrafficClient client = TrafficClient.open(node, key + "-1", PATIENT_MS, "")) {
            client.expect("UP");
            client.awaitEnd();
        }
    }

    private void openQuic() throws IOException {
        if (!QuicExchange.play(quic)) {
            throw new IOException("the QUIC server's replies did not arrive");
        }
    }

    private void readManagement() throws IOException {
        for (String path : List.of("/status", "/metrics")) {
            LoopbackSockets.httpGet(managementPort, path);
        }
    }

    private void failDiscovery() throws IOException {
        discovery.setUnavailable(true);
        ping();
        discovery.setUnavailable(false);
    }

    /** Lists an endpoint at which nobody listens, and opens connections until each endpoint was likely chosen once. */
    private void refuseConnection() throws IOException {
        try (Socket reserved = LoopbackSockets.reserveClosedPort()) {
            InetSocketAddress closed = (InetSocketAddress) reserved.getLocalSocketAddress();
            discovery.publish("s-closed", closed, ZONES.get(0), "std-2c", "SERVING");
            for (int i = 0; i < 2 * ENDPOINTS; i++) {
                openAndEcho("refused" + i, "");
            }
            discovery.publish("s-closed", closed, ZONES.get(0), "std-2c", "DELETED");
        }
    }

    /** Drains all endpoints but one while a client is connected, and opens a connection at the one that remains. */
    private void drain() throws IOException {
        try (TrafficClient client = TrafficClient.open(node, "drained-1", PATIENT_MS, "")) {
            client.expect("UP");
            for (int i = 0; i < ENDPOINTS - 1; i++) {
                publish(i, "DRAINING");
            }
            openAndEcho("spilled", "");
            client.send("M 1");
            client.expect("M 1");
        }
    }

    /** Drains the last endpoint, and opens connections until the node rejects one. */
    private void rejectWithoutEndpoints() throws IOException {
        publish(ENDPOINTS - 1, "DRAINING");
        boolean rejected = false;
        for (int i = 0; i < MAX_OPENS_UNTIL_REJECTED && !rejected; i++) {
            try (TrafficClient client = TrafficClient.open(node, "rejected-" + i, SHORT_MS, "")) {
                rejected = client.expect("").startsWith("BUSY");
            }
        }
        if (!rejected) {
            throw new IOException("no connection was rejected");
        }
        for (int i = 0; i < ENDPOINTS; i++) {
            publish(i, "SERVING");
        }
    }

    /** Opens a connection that stays open until the node shuts down. */
    private void openUntilShutdown() throws IOException {
        lastClient = TrafficClient.open(node, "last-1", PATIENT_MS, "");
        lastClient.expect("UP");
    }

    /** Reads what the client whose connection stayed open receives as the node shuts down. */
    void expectMoveAtShutdown() throws IOException {
        lastClient.expect("MOVE");
        lastClient.close();
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }
}
