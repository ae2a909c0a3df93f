package tulipshed.lineprotocol;

import java.util.Arrays;
import java.util.Map;
import tulipshed.decision.api.LoadReport;

/**
 * Parses the load report at the end of an endpoint's response: {@code inflight=7,queue=2,util=0.61}. Some fields have
 * two accepted names; unknown fields are skipped.
 */
final class LoadReportParser {
    private static final int MAX_FIELDS = 32; // in one report, known or not
    private static final double MAX_VALUE = 1e9;

    /** The fields of a report, in the order of {@link LoadReport}. */
    private enum Field {
        INFLIGHT,
        QUEUE,
        CPU,
        LATENCY_MS,
        REQUESTS_PER_SECOND,
        ERRORS_PER_SECOND,
        LOAD,
        BACKLOG_SECONDS
    }

    /** Fields by their names on the wire. */
    private static final Map<String, Field> FIELDS_BY_NAME = Map.ofEntries(
            Map.entry("inflight", Field.INFLIGHT),
            Map.entry("active", Field.INFLIGHT),
            Map.entry("queue", Field.QUEUE),
            Map.entry("waiting", Field.QUEUE),
            Map.entry("util", Field.CPU),
            Map.entry("cpu", Field.CPU),
            Map.entry("latency_ms", Field.LATENCY_MS),
            Map.entry("avg_ms", Field.LATENCY_MS),
            Map.entry("qps", Field.REQUESTS_PER_SECOND),
            Map.entry("rps", Field.REQUESTS_PER_SECOND),
            Map.entry("eps", Field.ERRORS_PER_SECOND),
            Map.entry("err_rps", Field.ERRORS_PER_SECOND),
            Map.entry("x0", Field.LOAD),
            Map.entry("x1", Field.BACKLOG_SECONDS));

    private LoadReportParser() {}

    /**
     * Parses the text after the first word of a response; a blank text yields {@link LoadReport#NONE}. Fields missing from
     * the report are NaN.
     *
     * @throws MalformedLineException if a field has no value, a value is not a number from 0 to 1e9, a known field occurs
     *     twice or there are more than 32 fields
     */
    static LoadReport parse(String text) {
        if (text.isBlank()) {
            return LoadReport.NONE;
        }
        String[] fields = text.strip().split(",", MAX_FIELDS + 1);
        if (fields.length > MAX_FIELDS) {
            throw new MalformedLineException("a report of more than " + MAX_FIELDS + " fields");
        }
        double[] values = new double[Field.values().length];
        Arrays.fill(values, Double.NaN);
        for (String field : fields) {
            parseField(field, values);
        }
        return new LoadReport(
                values[Field.INFLIGHT.ordinal()],
                values[Field.QUEUE.ordinal()],
                values[Field.CPU.ordinal()],
                values[Field.LATENCY_MS.ordinal()],
                values[Field.REQUESTS_PER_SECOND.ordinal()],
                values[Field.ERRORS_PER_SECOND.ordinal()],
                values[Field.LOAD.ordinal()],
                values[Field.BACKLOG_SECONDS.ordinal()]);
    }

    private static void parseField(String field, double[] values) {
        int equals = field.indexOf('=');
        if (equals < 0) {
            throw new MalformedLineException("a report with a field that has no value");
        }
        double value = parseValue(field.substring(equals + 1));
        Field known = FIELDS_BY_NAME.get(field.substring(0, equals));
        if (known == null) {
            return;
        }
        if (!Double.isNaN(values[known.ordinal()])) {
            throw new MalformedLineException("a report that names a field twice");
        }
        values[known.ordinal()] = value;
    }

    /**
     * Parses one reported value.
     *
     * @throws MalformedLineException if it is not a number from 0 to 1e9
     */
    static double parseValue(String text) {
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        if (!(value >= 0 && value <= MAX_VALUE)) {
            throw new MalformedLineException("a value that is not a number from 0 to 1e9");
        }
        return value;
    }
}
