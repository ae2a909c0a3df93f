package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;
import tulipshed.limits.Limits;
import tulipshed.transport.UdpSocket;

/** Tests of the line-protocol frontend through the sockets of its clients and endpoints. */
class LineProtocolFrontendTest extends LineProtocolFixture {
    @Test
    void relaysBothWaysUntilEndpointEndsConnection() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            client.send(OPEN_COMMAND.substring(0, 20));
            client.send(OPEN_COMMAND.substring(20));
            try (LineSocket endpoint = acceptUpstream()) {
                String line = endpoint.readLine();
                assertTrue(line.matches("OPEN 9b1f k c=slot-board,t=melnik-terminal,d=[0-9]+"), line);
                endpoint.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                client.send("M 1 x\r\n");
                assertEquals("M 1 x", endpoint.readLine());
                endpoint.send("M 1 x\r\nBYE\r\n");
                endpoint.socket.shutdownOutput();
                assertEquals("M 1 x", client.readLine());
                assertEquals("BYE", client.readLine());
                assertNull(client.readLine());
            }
        }
    }

    /** Regression: the value of LOAD was read as a load although the endpoints report only latency. */
    @Test
    void readsLoadLineAsLatencyWhenConfigured() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("UP r1\r\nLOAD 61.5\r\n");
                assertEquals("UP r1", client.readLine());
                assertEquals("LOAD 61.5", client.readLine());
                assertEquals(61.5, latencies.poll(5, TimeUnit.SECONDS));
                assertTrue(loads.isEmpty());
            }
        }
    }

    /** Regression: NaN corrupted the sums of the decision module, and each such line was quoted in the log. */
    @Test
    void relaysButIgnoresMalformedLoadLine() throws Exception {
        restart("\"TellsLoad\": false", "\"TellsLoad\": true");
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                for (String malformed : List.of("NaN", "-1", "Infinity", "1e300", "", "x", "1 2", "7".repeat(400))) {
                    endpoint.send("LOAD " + malformed + "\r\n");
                    assertEquals(
                            ("LOAD " + malformed).strip(), client.readLine().strip());
                }
                endpoint.send("LOAD\r\nLOAD 1200.5\r\n");
                assertEquals(1200.5, loads.poll(5, TimeUnit.SECONDS));
                assertTrue(loads.isEmpty() && latencies.isEmpty());
            }
        }
        assertTrue(
                logLines.stream().noneMatch(l -> (l.contains("x") && l.contains("LOAD")) || l.contains("777")),
                logLines::toString);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "UP r1|BYE inflight=7,queue=2,util=0.61; OK; 2; 0.61",
                "ERR queue=3; ERROR; 3; NaN",
                "BUSY x0=1.5,util=1; FULL; NaN; 1",
                "BUSY; FULL; NaN; NaN",
                "BUSY queue=-3,util=1; FULL; NaN; NaN",
                "BUSY queue=1,queue=2; FULL; NaN; NaN",
                "ERR queue; ERROR; NaN; NaN"
            })
    void readsInlineLoadReportsWhenConfigured(String input, Outcome outcome, double queue, double cpu)
            throws Exception {
        restart("\"How\": \"off\"", "\"How\": \"inline\"");
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send(input.replace("|", "\r\n") + "\r\n");
                endpoint.socket.shutdownOutput();
                assertEquals(outcome, outcomes.poll(5, TimeUnit.SECONDS));
                LoadReport report = loadReports.poll(5, TimeUnit.SECONDS);
                assertEquals(queue, report.queue());
                assertEquals(cpu, report.cpu());
            }
        }
    }

    @Test
    void ignoresInlineLoadReportWhenNotConfigured() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("BUSY queue=9\r\n");
                assertEquals(LoadReport.NONE, loadReports.poll(5, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void failsMalformedOpenCommandWithoutForwarding() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send("OPEN 9b1f k c=nothing,d=5\r\n");
            assertEquals("ERR", client.readLine());
            assertNull(client.readLine());
        }
        endpointListener.setSoTimeout(100);
        assertThrows(IOException.class, () -> endpointListener.accept());
    }

    @Test
    void propagatesEndpointResetToClient() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            LineSocket endpoint = acceptUpstream();
            endpoint.send("UP r1\r\n");
            assertEquals("UP r1", client.readLine());
            endpoint.socket.setSoLinger(true, 0);
            endpoint.close();
            assertThrows(IOException.class, client::readLine);
        }
    }

    /** Buffers are bounded, so a slow reader causes backpressure; nothing may be lost or truncated by that. */
    @Test
    void relaysMoreThanBuffersHoldInBothDirections() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; text.length() < 3_000_000; i++) {
            text.append(i).append("x".repeat(i * 31 % 3000)).append("\r\n");
        }
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                endpoint.send("UP r1\r\n");
                client.readLine();
                for (LineSocket[] direction : new LineSocket[][] {{client, endpoint}, {endpoint, client}}) {
                    Thread sender = new Thread(() -> {
                        try {
                            direction[0].send(text.toString());
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    });
                    sender.start();
                    for (String line : text.toString().split("\r\n")) {
                        assertEquals(line, direction[1].readLine());
                    }
                    sender.join();
                }
            }
        }
    }

    /** Parameters: the endpoint's lines before it closes its connection, and the expected outcome of the attempt. */
    @ParameterizedTest
    @CsvSource({
        "'', RESET",
        "BUSY, FULL",
        "ERR, ERROR",
        "SYNTAX, ERROR",
        "MOVE, CANCELLED",
        "UP r;BYE, OK",
        "UP r;MOVE, CANCELLED",
        "UP r, RESET"
    })
    void mapsEndpointResponsesToOutcomes(String lines, Outcome outcome) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                endpoint.send(lines.isEmpty() ? "" : lines.replace(";", "\r\n") + "\r\n");
            }
            assertEquals(outcome, outcomes.poll(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void reportsRefusedConnectionAsConnectFailed() throws Exception {
        endpointListener.close();
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            assertEquals(Outcome.CONNECT_FAILED, outcomes.poll(5, TimeUnit.SECONDS));
        }
    }

    /** A failed machine sends no reset, so that only missing responses reveal the failure. */
    @Test
    void migratesClientOfUnresponsiveEndpoint() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                client.send("M 1 x\r\n");
                assertEquals("MOVE", client.readLine());
                assertNull(client.readLine());
                assertEquals(Outcome.RESET, outcomes.poll(5, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void sendsRetryDelayToClientRejectedEverywhere() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=300"));
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                endpoint.send("BUSY\r\n");
                assertTrue(client.readLine().matches("BUSY [0-9]+"));
            }
        }
    }

    /** Regression: endpoints were sent the same invalid request six times, and answered ERR to each. */
    @Test
    void failsDuplicateIdOfOpenRequest() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                try (LineSocket duplicate = connectClient()) {
                    duplicate.send(OPEN_COMMAND.replace(" k ", " other "));
                    assertEquals("ERR", duplicate.readLine());
                }
                client.send("M 1 x\r\n");
                endpoint.readLine();
                assertEquals("M 1 x", endpoint.readLine(), "the first one stays established");
                endpoint.send("BYE\r\n");
            }
            assertEquals("BYE", client.readLine());
            assertNull(client.readLine());
        }
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                assertTrue(endpoint.readLine().startsWith("OPEN"), "available again once its request has ended");
            }
        }
    }

    /** A client that sends nothing, a partial open command or only pings must not keep its connection. */
    @ParameterizedTest
    @ValueSource(strings = {"", "OPEN 9b", "PING\r\n"})
    void failsClientWithoutOpenCommandWithinThreeSeconds(String input) throws IOException {
        long startNs = System.nanoTime();
        try (LineSocket client = connectClient()) {
            client.send(input);
            String response = client.readLine();
            assertEquals("ERR", response.equals("PONG") ? client.readLine() : response);
            assertTrue(System.nanoTime() - startNs < 3_000_000_000L);
        }
    }

    @Test
    void answersPingsUpToLimit() throws IOException {
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n".repeat(100_000));
            for (int i = 0; i < Limits.forDescriptors(1024).lineProtocol().maxPings(); i++) {
                assertEquals("PONG", client.readLine());
            }
            assertEquals("ERR", client.readLine());
            assertNull(client.readLine());
        }
    }

    @Test
    void failsExcessiveEarlyDataWithoutForwarding() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.repeat(400));
            assertEquals("ERR", client.readLine());
            assertNull(client.readLine());
        }
        // An endpoint received at most one line of the client, and the one attempt that was started has ended.
        endpointListener.setSoTimeout(300);
        try (LineSocket endpoint = acceptUpstream()) {
            String first = endpoint.readLine();
            assertTrue(first == null || endpoint.readLine() == null);
        } catch (java.net.SocketTimeoutException none) {
            assertEquals(List.of(Outcome.UNUSED), List.copyOf(outcomes));
        }
    }

    /** For a value of 60 MB the failure is sent immediately, and the event loop serves other clients meanwhile. */
    @Test
    void failsUnterminatedLineImmediately() throws Exception {
        try (LineSocket client = connectClient();
                LineSocket other = connectClient()) {
            Thread sender = new Thread(() -> {
                try {
                    client.send("OPEN 1 k c=" + "x".repeat(60_000_000));
                } catch (IOException closed) {
                    // The node may close the connection before it has received everything.
                    return;
                }
            });
            sender.start();
            assertEquals("ERR", client.readLine());
            other.send("PING\r\n");
            assertEquals("PONG", other.readLine());
            sender.join(10_000);
        }
    }

    /** Hundreds of malformed lines must neither fill the log nor be quoted in it. */
    @Test
    void logsNumberOfMalformedClientsWithoutQuotingThem() throws Exception {
        for (int i = 0; i < 50; i++) {
            try (LineSocket client = connectClient()) {
                client.send("OPEN 1 k c=forged-log-line,t=melnik-terminal,d=5\r\n");
                assertEquals("ERR", client.readLine());
            }
        }
        Thread.sleep(2 * (long) Limits.forDescriptors(1024).sockets().sweepIntervalMs());
        assertTrue(logLines.size() >= 1 && logLines.size() <= 2, logLines.toString());
        assertTrue(
                logLines.get(0).startsWith("WARN client: clients rejected for malformed input: "), logLines.toString());
        assertTrue(logLines.stream().noneMatch(l -> l.contains("forged")), logLines.toString());
    }

    /** A shortage of descriptors must not be reported as an unreachable endpoint. */
    @Test
    void rejectsAndReportsAttemptAsUnusedWhenDescriptorsRunOut() throws Exception {
        stop();
        start(Limits.forDescriptors(40));
        List<UdpSocket> udpSockets = new ArrayList<>();
        try (LineSocket client = connectClient()) {
            client.send("PING\r\n");
            assertEquals("PONG", client.readLine());
            loop.execute(() -> {
                while (loop.hasCapacityForUpstream()) {
                    try {
                        udpSockets.add(loop.bindUdp(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                ByteBuffer.allocate(8),
                                (from, datagram) -> {}));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            client.send(OPEN_COMMAND);
            assertTrue(client.readLine().matches("BUSY [0-9]+"));
            assertEquals(Outcome.UNUSED, outcomes.poll(5, TimeUnit.SECONDS));
        }
        loop.execute(() -> udpSockets.forEach(UdpSocket::close));
    }
}
