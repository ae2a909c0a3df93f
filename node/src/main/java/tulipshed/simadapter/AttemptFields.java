package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;

/**
 * The fields of a line that describe an attempt, or the result of an attempt or a health check. {@link #readField}
 * lists their external names.
 */
final class AttemptFields {
    private int number;
    private long durationUs;
    private boolean concluded;
    private String outcomeName;
    private LoadReport loadReport = LoadReport.NONE;

    /**
     * Reads the parser's current token as the value of the named field; returns false if it is not a field of an
     * attempt.
     */
    boolean readField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "Leg" -> number = (int) JsonTokens.integer(parser, name);
            case "TookS" -> durationUs = JsonTokens.micros(parser, name);
            case "NoMore" -> concluded = parser.getValueAsBoolean();
            case "Verdict" -> outcomeName = JsonTokens.string(parser, name);
            case "Telemetry" -> loadReport = LoadReportReader.read(parser);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of the attempt within its request, from 0 on. */
    int number() {
        return number;
    }

    /** Returns the duration of the attempt, in microseconds. */
    long durationUs() {
        return durationUs;
    }

    /** Whether the client needs no further response to its request. */
    boolean concluded() {
        return concluded;
    }

    /**
     * Returns the outcome of the attempt or health check.
     *
     * @throws MalformedInputException if it is absent or its external name is unknown
     */
    Outcome outcome() {
        return switch (String.valueOf(outcomeName)) {
            case "delivered" -> Outcome.OK;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.FULL;
            case "expired" -> Outcome.TIMEOUT;
            case "dial_failed" -> Outcome.CONNECT_FAILED;
            case "dropped" -> Outcome.RESET;
            case "revoked" -> Outcome.CANCELLED;
            case "unused" -> Outcome.UNUSED;
            default -> throw new MalformedInputException("unknown Verdict: " + outcomeName);
        };
    }

    /** Returns the endpoint's load report, or {@link LoadReport#NONE} if there is none. */
    LoadReport loadReport() {
        return loadReport;
    }
}
