package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import tulipshed.decision.api.LoadReport;

/** Reads a load report, external name {@code Telemetry}. Absent values are NaN; unknown fields are skipped. */
final class LoadReportReader {
    private LoadReportReader() {}

    /** Reads a report; the parser's current token is its start. */
    static LoadReport read(JsonParser parser) throws IOException {
        JsonTokens.expect(parser, JsonToken.START_OBJECT, "Telemetry");
        double inflight = Double.NaN;
        double queue = Double.NaN;
        double cpu = Double.NaN;
        double latencyMs = Double.NaN;
        double rps = Double.NaN;
        double errorRps = Double.NaN;
        double load = Double.NaN;
        double backlogS = Double.NaN;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "active" -> inflight = JsonTokens.number(parser, name);
                case "waiting" -> queue = JsonTokens.number(parser, name);
                case "cpu" -> cpu = JsonTokens.number(parser, name);
                case "avg_ms" -> latencyMs = JsonTokens.number(parser, name);
                case "rps" -> rps = JsonTokens.number(parser, name);
                case "err_rps" -> errorRps = JsonTokens.number(parser, name);
                case "x0" -> load = JsonTokens.number(parser, name);
                case "x1" -> backlogS = JsonTokens.number(parser, name);
                default -> parser.skipChildren();
            }
        }
        return new LoadReport(inflight, queue, cpu, latencyMs, rps, errorRps, load, backlogS);
    }
}
