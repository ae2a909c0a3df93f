package tulipshed.emulator.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tulipshed.emulator.results.Results;

/** Compares two choices over pairs of runs that are alike in all else. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Compares two choices, paired over all else: "
                + "RESULTS, or RESULTS?PATH=VALUE for those runs of them in which a parameter has that value.")
final class CompareCommand implements Callable<Integer> {
    /** Of these less is better. */
    static final List<String> LESS = List.of(
            "late",
            "lost",
            "messages_late",
            "attempts_per_ask",
            "refused_per_ask",
            "failed_per_ask",
            "resets",
            "moves",
            "cold_fell",
            "cold_strain",
            "load_spread",
            "list_calls_failed",
            "setup_p50_ms",
            "setup_p99_ms");

    @Spec
    CommandSpec spec;

    @Parameters(index = "0", paramLabel = "A")
    String a;

    @Parameters(index = "1", paramLabel = "B")
    String b;

    @Option(
            names = "--figure",
            split = ",",
            description = "Which (default: ${DEFAULT-VALUE}).",
            defaultValue = "service,worst_class,worst_ten_seconds,attempts_per_ask,cold_strain")
    List<String> figures;

    @Option(names = "--by", description = "A parameter for whose every value the pairs are told apart, e.g. scale.")
    String by;

    private static Map<String, String> parameters(Map<String, Object> row) {
        Map<String, String> out = new TreeMap<>();
        for (String p : String.valueOf(row.get("parameters")).split(";")) {
            if (p.contains("=")) {
                out.put(p.substring(0, p.indexOf('=')), p.substring(p.indexOf('=') + 1));
            }
        }
        out.put("policy", String.valueOf(row.get("policy")));
        out.put("scenario", String.valueOf(row.get("scenario")));
        return out;
    }

    /** The runs of a side, by all that they have in common with the other side's. */
    private static Map<String, Map<String, Object>> side(String what) {
        String[] parts = what.split("\\?", 2);
        Map<String, String> wanted = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String p : parts[1].split(",")) {
                String[] pair = p.split("=", 2);
                wanted.put(pair[0], pair.length > 1 ? pair[1] : "");
            }
        }
        Map<String, Map<String, Object>> out = new TreeMap<>();
        try (Results results = new Results(Path.of(parts[0]))) {
            if (!results.any()) {
                throw new IllegalArgumentException("no results in " + parts[0]);
            }
            for (Map<String, Object> row : results.read("run")) {
                Map<String, String> p = parameters(row);
                if (wanted.entrySet().stream().allMatch(w -> w.getValue().equals(p.get(w.getKey())))) {
                    wanted.keySet().forEach(p::remove);
                    out.put(p + " " + row.get("seed"), row);
                }
            }
        }
        return out;
    }

    @Override
    public Integer call() {
        Map<String, Map<String, Object>> left = side(a);
        Map<String, Map<String, Object>> right = side(b);
        Map<String, List<String>> keys = new TreeMap<>();
        for (String k : left.keySet()) {
            if (right.containsKey(k)) {
                String part =
                        by == null ? "" : by + " " + parameters(left.get(k)).get(by);
                keys.computeIfAbsent(part, x -> new ArrayList<>()).add(k);
            }
        }
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("no run of " + a + " is like one of " + b + " in all else");
        }
        PrintWriter w = spec.commandLine().getOut();
        keys.forEach((part, pairs) -> {
            if (!part.isEmpty()) {
                w.println(part);
            }
            for (String figure : figures) {
                if (!left.get(pairs.get(0)).containsKey(figure)) {
                    throw new IllegalArgumentException("no figure is called " + figure
                            + tulipshed.sexpr.NameSuggestions.hint(
                                    figure, left.get(pairs.get(0)).keySet()));
                }
                double[] x = pairs.stream()
                        .mapToDouble(k -> ((Number) left.get(k).get(figure)).doubleValue())
                        .toArray();
                double[] y = pairs.stream()
                        .mapToDouble(k -> ((Number) right.get(k).get(figure)).doubleValue())
                        .toArray();
                w.println((part.isEmpty() ? "" : "  ")
                        + PairedDifferences.of(x, y).verdict(figure, a, b, !LESS.contains(figure)));
            }
        });
        w.flush();
        return 0;
    }
}
