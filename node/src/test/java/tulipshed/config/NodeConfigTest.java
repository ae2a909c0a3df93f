package tulipshed.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.testing.InputFuzzer;

/** Reads the documented configuration file and invalid variants of it. */
class NodeConfigTest {
    private static final Path FILE = Path.of("src/test/resources/node.json");

    @Test
    void readsDocumentedConfiguration() {
        NodeConfig config = NodeConfig.load(Map.of("PROXY_CONFIG", FILE.toString()));
        assertEquals("n0", config.name());
        assertEquals(18080, config.listen().getPort());
        assertEquals(Long.parseUnsignedLong("8c1f30d27a5be964", 16), config.seed());
        assertEquals(3, config.settings().classes().size());
        assertEquals(250_000, config.settings().limits().connectTimeoutUs());
        assertEquals(60_000, config.settings().classes().get(0).messageLatencyObjectiveUs());
        assertEquals(1, config.cachedEndpointEntries().size());
    }

    @Test
    void managementAddressIsOptionalAndComesFromFileOrEnvironment() {
        assertNull(NodeConfig.load(Map.of("PROXY_CONFIG", FILE.toString())).management());
        assertEquals(
                18090,
                NodeConfig.load(Map.of("PROXY_CONFIG", FILE.toString(), "PROXY_MANAGEMENT", "127.0.0.1:18090"))
                        .management()
                        .getPort());
        assertThrows(
                MalformedInputException.class,
                () -> NodeConfig.load(Map.of("PROXY_CONFIG", FILE.toString(), "PROXY_MANAGEMENT", "nowhere")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "127.0.0.1:18080 | nowhere:80",
                "8c1f30d27a5be964 | xyz",
                "\"settings\" | \"setting\"",
                "\"sockets\": 1024 | \"sockets\": \"1024\"",
                "\"Classes\" | \"Klasses\"",
                "\"discovery\" | \"discover\"",
                "\"known\" | \"unknown\"",
                "\"HardLimitS\": 1.2 | \"HardLimitS\": -1.2",
                "\"HardLimitS\": 1.2 | \"HardLimitS\": 0",
                "\"HardLimitS\": 1.2 | \"HardLimitS\": \"soon\"",
                "\"HardLimitS\": 1.2 | \"HardLimitS\": null",
                "\"HardLimitS\": 1.2 | \"HardLimitS\": 1e999",
                "\"MaxAttempts\": 6 | \"MaxAttempts\": 0.5",
                "\"MaxAttempts\": 6 | \"MaxAttempts\": 0",
                "\"MaxAttempts\": 6 | \"MinAttempts\": 6",
                "\"Effect\": \"repeatable\" | \"Effect\": \"often\"",
                "\"QuotaPerS\" | \"Quota\"",
                "\"DrainGraceS\" | \"Grace\"",
                "\"gate-status\" | \"slot-board\""
            })
    void rejectsInvalidConfigurationWithOneLineMessage(String valid, String invalid) throws IOException {
        byte[] bytes = Files.readString(FILE).replace(valid, invalid).getBytes(StandardCharsets.UTF_8);
        MalformedInputException exception =
                assertThrows(MalformedInputException.class, () -> NodeConfig.parse(JsonValues.object(bytes), Map.of()));
        assertFalse(exception.getMessage().isBlank() || exception.getMessage().contains("\n"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[\"127.0.0.1:1\", \"127.0.0.1:2\"] | 127.0.0.1:3 | ",
                "7 | 127.0.0.1:3 | peers is not a list",
                "[7] | 127.0.0.1:3 | an entry of peers is not a numeric host:port: null",
                "[\"127.0.0.1:1\", \"127.0.0.1:1\"] | 127.0.0.1:3 | peers has an address twice",
                "[\"n1:1\"] | 127.0.0.1:3 | an entry of peers is not a numeric host:port: n1:1",
                "[] | 127.0.0.1 | peers_all is not a numeric host:port: 127.0.0.1"
            })
    void readsPeerAddressesOnlyIfSettingsAllowPeers(String peers, String broadcast, String error) throws IOException {
        String text = Files.readString(FILE)
                .replace(
                        "\"seed\":",
                        "\"peer_listen\": \"127.0.0.1:9\", \"peers\": " + peers + ", \"peers_all\": \"" + broadcast
                                + "\", \"seed\":");
        assertNull(NodeConfig.parse(JsonValues.object(text.getBytes(StandardCharsets.UTF_8)), Map.of())
                .peers());
        byte[] allowed = text.replace("\"Peers\": false", "\"Peers\": true").getBytes(StandardCharsets.UTF_8);
        if (error == null) {
            PeerConfig read =
                    NodeConfig.parse(JsonValues.object(allowed), Map.of()).peers();
            assertEquals("[/127.0.0.1:1, /127.0.0.1:2] /127.0.0.1:3", read.peers() + " " + read.broadcast());
        } else {
            assertEquals(
                    error,
                    assertThrows(
                                    MalformedInputException.class,
                                    () -> NodeConfig.parse(JsonValues.object(allowed), Map.of()))
                            .getMessage());
        }
    }

    @Property(tries = 200, seed = "41")
    void corruptedConfigurationIsParsedOrReportedAsMalformed(@ForAll long seed) throws IOException {
        try {
            NodeConfig.parse(JsonValues.object(InputFuzzer.corrupt(Files.readAllBytes(FILE), seed)), Map.of());
        } catch (MalformedInputException expected) {
            assertFalse(expected.getMessage().isBlank());
        }
    }
}
