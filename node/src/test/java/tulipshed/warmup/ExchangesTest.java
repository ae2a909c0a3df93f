package tulipshed.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.proxy.NodeMetrics;

@Timeout(30)
class ExchangesTest {
    private static final int EXCHANGE_COUNT = 120;

    private final Exchanges exchanges = new Exchanges(
            NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json")), Limits.forDescriptors(1024));

    @Test
    void everyExchangeIsAnsweredUnlessCancelled() {
        long cancelled = IntStream.range(0, EXCHANGE_COUNT)
                .filter(number -> ExchangeKind.of(number) == ExchangeKind.CANCELLED)
                .count();
        assertTrue(exchanges.runExchanges(EXCHANGE_COUNT) >= EXCHANGE_COUNT - cancelled);
    }

    @Test
    void requestsAreForwardedAndAllConnectionsEnd() {
        exchanges.runExchanges(EXCHANGE_COUNT);
        exchanges.runExchanges(EXCHANGE_COUNT);
        NodeMetrics metrics = exchanges.core().metrics();
        assertTrue(metrics.forwardedAttempts() > EXCHANGE_COUNT, () -> "forwarded: " + metrics.forwardedAttempts());
        assertEquals(0, exchanges.core().establishedCount());
        assertEquals(0, exchanges.openConnections());
    }

    @Test
    void everyExchangeKindOccurs() {
        Set<ExchangeKind> kinds = new HashSet<>();
        for (int number = 0; number < EXCHANGE_COUNT; number++) {
            kinds.add(ExchangeKind.of(number));
        }
        assertEquals(Set.of(ExchangeKind.values()), kinds);
    }
}
