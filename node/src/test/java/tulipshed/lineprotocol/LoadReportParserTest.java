package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.LoadReport;

/** Parsing of load reports and rejection of malformed ones. */
class LoadReportParserTest {
    @Test
    void skipsUnknownFieldsAndLeavesMissingOnesUnknown() {
        LoadReport report = LoadReportParser.parse(" inflight=7,colour=3,waiting=2");
        assertEquals(7, report.inflight());
        assertEquals(2, report.queue());
        assertTrue(Double.isNaN(report.load()));
        assertThrows(MalformedLineException.class, () -> LoadReportParser.parse("a=1,".repeat(40) + "b=1"));
    }

    @Property(tries = 500, seed = "41")
    void parsesOrRejectsAnyReportText(@ForAll @StringLength(max = 60) String text) {
        try {
            LoadReport report = LoadReportParser.parse("x0=" + text);
            assertTrue(
                    text.isBlank() || Double.isNaN(report.load()) || (report.load() >= 0 && report.load() <= 1e9),
                    text);
        } catch (MalformedLineException e) {
            assertNotNull(e.getMessage());
        }
    }
}
