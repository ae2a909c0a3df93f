package tulipshed.lineprotocol;

import java.util.Arrays;
import java.util.Map;
import tulipshed.decision.BalancerApi.LoadReport;

/**
 * The load report at the end of a member's answer: {@code inflight=7,queue=2,util=0.61}. Fields go by the names of the
 * protocol page or by those of the settings; unknown ones are passed over.
 */
final class LoadReportParser {
    private static final int FIELDS = 32; // in one line, known or not
    private static final double MOST = 1e9; // more of anything is no figure
    private static final Map<String, Integer> PLACES = Map.ofEntries(
            Map.entry("inflight", 0),
            Map.entry("active", 0),
            Map.entry("queue", 1),
            Map.entry("waiting", 1),
            Map.entry("util", 2),
            Map.entry("cpu", 2),
            Map.entry("latency_ms", 3),
            Map.entry("avg_ms", 3),
            Map.entry("qps", 4),
            Map.entry("rps", 4),
            Map.entry("eps", 5),
            Map.entry("err_rps", 5),
            Map.entry("x0", 6),
            Map.entry("x1", 7));

    private LoadReportParser() {}

    /**
     * Reads what follows an answer's first word; {@link LoadReport#NONE} where nothing does.
     *
     * @throws MalformedLineException if a field has no value, a value is no number from 0 to 1e9, a known field comes twice or there are
     *     more than 32: then none of it is believed
     */
    static LoadReport parse(String text) {
        if (text.isBlank()) {
            return LoadReport.NONE;
        }
        String[] fields = text.strip().split(",", FIELDS + 1);
        if (fields.length > FIELDS) {
            throw new MalformedLineException("a report of more than " + FIELDS + " fields");
        }
        double[] v = new double[8];
        Arrays.fill(v, Double.NaN);
        for (String field : fields) {
            int is = field.indexOf('=');
            if (is < 0) {
                throw new MalformedLineException("a report with a field that has no value");
            }
            double value = parseValue(field.substring(is + 1));
            Integer place = PLACES.get(field.substring(0, is));
            if (place != null && !Double.isNaN(v[place])) {
                throw new MalformedLineException("a report that names a field twice");
            } else if (place != null) {
                v[place] = value;
            }
        }
        return new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]);
    }

    /**
     * A figure that a member tells.
     *
     * @throws MalformedLineException if it is no number from 0 to 1e9
     */
    static double parseValue(String text) {
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        if (!(value >= 0 && value <= MOST)) {
            throw new MalformedLineException("a figure that is no number from 0 to 1e9");
        }
        return value;
    }
}
