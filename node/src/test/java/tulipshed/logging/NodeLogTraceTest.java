package tulipshed.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

/** Lines of level TRACE, which are disabled unless the node is started with a trace limit. */
class NodeLogTraceTest {
    private final List<String> lines = new ArrayList<>();

    @Test
    void traceIsOffByDefault() {
        Logger log = NodeLog.to(lines::add).logger("discovery");
        log.trace("call starts");
        log.info("list is there");
        assertEquals(List.of("INFO discovery: list is there"), lines);
    }

    @Test
    void traceLinesAreBoundedAndAllLinesEndWithTheTime() {
        Logger log = NodeLog.tracingTo(lines::add, () -> 12.5, 2).logger("discovery");
        for (int call = 1; call <= 4; call++) {
            log.tracef("call %d", call);
        }
        log.warn("call failed");
        assertEquals(
                List.of(
                        "TRACE discovery: call 1 @12.500 ms",
                        "TRACE discovery: call 2 @12.500 ms",
                        "WARN discovery: call failed @12.500 ms"),
                lines);
    }
}
