package tulipshed.simadapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.Balancer;
import tulipshed.decision.api.BalancerActions;
import tulipshed.testing.DelegatingBalancer;

/** Runs the adapter on recorded input and compares its output lines. */
class AdapterTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String input) {
        return Adapter.run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, err, Balancer::new);
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = AdapterTest.class.getResourceAsStream("/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Input lines that start a batch and create its instance. */
    private static String batchStart() throws IOException {
        return resource("exchange.jsonl").lines().limit(2).reduce("", (text, line) -> text + line + "\n");
    }

    @Test
    void repliesToEachBatch() throws IOException {
        assertEquals(0, run(resource("exchange.jsonl")));
        assertEquals(resource("exchange.reply.jsonl"), out.toString(StandardCharsets.UTF_8));
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"cmd\":\"Batch\",\"TimeS\":1.0",
                "{\"cmd\":\"Batch\",\"TimeS\":\"soon\",\"frame\":1}\n",
                "{\"TimeS\":1.0,\"frame\":1}\n",
                "[1]\n",
                "{\"cmd\":\"Batch\",\"TimeS\":1.0,\"frame\":1}\n{\"cmd\":\"Incoming\",\"Who\":\"balancer_9\",\"MsgId\":1}\n",
                "{\"cmd\":\"Batch\",\"TimeS\":1.0,\"frame\":1}\n{\"cmd\":\"Eob\"",
            })
    void malformedInputExitsWithCode2AndOneLineOnStandardError(String input) {
        assertEquals(2, run(input));
        List<String> lines = err.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("tulipshed: malformed input: "), lines.get(0));
        assertEquals("", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void exceptionOfDecisionModuleIsWrittenAsExceptionLine() throws IOException {
        String input = batchStart() + "{\"cmd\":\"Eob\"}\n";
        int code = Adapter.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                out,
                err,
                (settings, seed, nowUs, actions) -> {
                    throw new IllegalStateException("no \"decision\"");
                });
        assertEquals(0, code);
        assertEquals(
                "{\"cmd\":\"Exception\",\"Who\":\"balancer_0\",\"Msg\":"
                        + "\"java.lang.IllegalStateException: no \\\"decision\\\"\"}\n"
                        + "{\"cmd\":\"Done\",\"frame\":1}\n",
                out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void peerMessagesAreWrittenWithRecipientAndBody() throws IOException {
        Adapter.run(
                new ByteArrayInputStream((batchStart() + "{\"cmd\":\"NoteFrom\",\"Who\":\"balancer_0\",\"SrcPeer\":2,"
                                + "\"Body\":\"aGkgNw==\"}\n{\"cmd\":\"Eob\"}\n")
                        .getBytes(StandardCharsets.UTF_8)),
                out,
                err,
                (settings, seed, nowUs, actions) ->
                        new DelegatingBalancer(new Balancer(settings, seed, nowUs, actions)) {
                            @Override
                            public void peerMessageReceived(long atUs, int senderIndex, byte[] body) {
                                actions.sendToPeer(senderIndex, body);
                                actions.sendToPeer(BalancerActions.ALL_PEERS, new byte[] {1, 2});
                            }
                        });
        assertTrue(
                out.toString(StandardCharsets.UTF_8)
                        .contains("{\"cmd\":\"WritePeer\",\"Who\":\"balancer_0\",\"To\":2,\"Body\":\"aGkgNw==\"}\n"
                                + "{\"cmd\":\"WritePeer\",\"Who\":\"balancer_0\",\"To\":\"*\",\"Body\":\"AQI=\"}\n"),
                out::toString);
    }
}
