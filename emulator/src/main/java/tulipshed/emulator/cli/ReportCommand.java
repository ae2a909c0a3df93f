package tulipshed.emulator.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tulipshed.emulator.results.Results;

/** Makes one page of a folder of results. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description =
                "Makes one page with plots, all in one HTML file, and the plots as PNG beside it where asked for.")
final class ReportCommand implements Callable<Integer> {
    private static final Map<String, String> FIGURES = new java.util.LinkedHashMap<>();

    static {
        FIGURES.put("service", "Service");
        FIGURES.put("worst_class", "Service of the worst class");
        FIGURES.put("worst_tenant", "Service of the worst tenant");
        FIGURES.put("worst_ten_seconds", "Service in the worst ten seconds");
        FIGURES.put("attempts_per_ask", "Attempts for each time a client wants a connection");
        FIGURES.put("refused_per_ask", "Refusals for each time a client wants a connection");
        FIGURES.put("moves", "Moves");
        FIGURES.put("resets", "Connections reset");
        FIGURES.put("messages_late", "Share of standing time in which messages are late");
        FIGURES.put("load_spread", "Spread of load over members (deviation over mean)");
        FIGURES.put("cold_strain", "Highest strain on a cold member (1 pushes it over)");
        FIGURES.put("broken_cold", "Breaches of the cold rule");
    }

    @Spec
    CommandSpec spec;

    @Parameters(paramLabel = "RESULTS")
    Path folder;

    @Option(
            names = "--x",
            defaultValue = "nodes",
            description = "The column along which figures are drawn (default ${DEFAULT-VALUE}).")
    String x;

    @Option(names = "--out", defaultValue = "report.html", description = "The page (default ${DEFAULT-VALUE}).")
    Path out;

    @Option(names = "--png", description = "A folder for the plots as PNG.")
    Path png;

    private final StringBuilder page = new StringBuilder();

    @Override
    public Integer call() throws IOException {
        try (Results results = new Results(folder)) {
            if (!results.any()) {
                throw new IllegalArgumentException("no results in " + folder);
            }
            List<Map<String, Object>> runs = results.read("run");
            if (!runs.get(0).containsKey(x)) {
                throw new IllegalArgumentException("no column is called " + x
                        + tulipshed.sexpr.NameSuggestions.hint(x, runs.get(0).keySet()));
            }
            page.append("<!doctype html><html lang=en><meta charset=utf-8><title>")
                    .append(escape(folder.getFileName().toString()))
                    .append(
                            "</title><style>body{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}"
                                    + "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.2em .6em;"
                                    + "text-align:right}td:first-child,th:first-child{text-align:left}img{max-width:100%}</style>");
            Set<String> scenarios = new TreeSet<>();
            runs.forEach(r -> scenarios.add(String.valueOf(r.get("scenario"))));
            page.append("<h1>")
                    .append(escape(folder.getFileName().toString()))
                    .append("</h1><p>")
                    .append(runs.size())
                    .append(" runs. Bars are 95 in 100 intervals of the mean over seeds.");
            for (String s : scenarios) {
                scenario(
                        results,
                        s,
                        runs.stream().filter(r -> s.equals(r.get("scenario"))).toList());
            }
        }
        Files.writeString(out, page.toString(), StandardCharsets.UTF_8);
        spec.commandLine().getOut().println("wrote " + out);
        spec.commandLine().getOut().flush();
        return 0;
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void scenario(Results results, String name, List<Map<String, Object>> runs) throws IOException {
        page.append("<h2>").append(escape(name)).append("</h2>");
        Map<String, TreeMap<Double, List<Map<String, Object>>>> byPolicy = new TreeMap<>();
        for (Map<String, Object> r : runs) {
            byPolicy.computeIfAbsent(String.valueOf(r.get("policy")), p -> new TreeMap<>())
                    .computeIfAbsent(Plots.number(r, x), v -> new ArrayList<>())
                    .add(r);
        }
        table(byPolicy);
        boolean many = byPolicy.values().stream().anyMatch(m -> m.size() > 1);
        if (many) {
            for (Map.Entry<String, String> f : FIGURES.entrySet()) {
                List<Plots.Line> lines = new ArrayList<>();
                byPolicy.forEach((policy, points) -> lines.add(line(policy, points, f.getKey())));
                draw(name, f.getKey(), f.getValue(), x, lines, spans(byPolicy));
            }
            List<Plots.Line> shares = new ArrayList<>();
            byPolicy.forEach((policy, points) -> runs.get(0).keySet().stream()
                    .filter(k -> k.startsWith("tenant_"))
                    .forEach(k -> shares.add(line(policy + " " + k.substring(7), points, k))));
            if (!shares.isEmpty() && shares.size() <= 24) {
                draw(name, "tenants", "Service of each tenant", x, shares, spans(byPolicy));
            }
        }
        timelines(results, name, byPolicy);
    }

    private boolean spans(Map<String, TreeMap<Double, List<Map<String, Object>>>> byPolicy) {
        double least =
                byPolicy.values().stream().mapToDouble(TreeMap::firstKey).min().orElse(0);
        return least > 0
                && byPolicy.values().stream()
                                        .mapToDouble(TreeMap::lastKey)
                                        .max()
                                        .orElse(0)
                                / least
                        >= 20;
    }

    private Plots.Line line(String name, TreeMap<Double, List<Map<String, Object>>> points, String figure) {
        double[] xs = points.keySet().stream().mapToDouble(d -> d).toArray();
        double[] ys = new double[xs.length];
        double[] errors = new double[xs.length];
        for (int i = 0; i < xs.length; i++) {
            double[] values = points.get(xs[i]).stream()
                    .mapToDouble(r -> Plots.number(r, figure))
                    .toArray();
            ys[i] = PairedDifferences.mean(values);
            errors[i] = Plots.error(values);
        }
        return new Plots.Line(name, xs, ys, errors);
    }

    private void table(Map<String, TreeMap<Double, List<Map<String, Object>>>> byPolicy) {
        page.append("<table><tr><th>policy, ").append(escape(x)).append("<th>runs");
        FIGURES.keySet().forEach(f -> page.append("<th>").append(f.replace('_', ' ')));
        byPolicy.forEach((policy, points) -> points.forEach((value, rows) -> {
            page.append("<tr><td>")
                    .append(escape(policy))
                    .append(", ")
                    .append(RunCommand.plain(value))
                    .append("<td>")
                    .append(rows.size());
            for (String f : FIGURES.keySet()) {
                page.append("<td>")
                        .append(String.format(
                                Locale.ROOT,
                                "%.3f",
                                PairedDifferences.mean(rows.stream()
                                        .mapToDouble(r -> Plots.number(r, f))
                                        .toArray())));
            }
        }));
        page.append("</table>");
    }

    /** Second by second, for the most nodes that there are. */
    private void timelines(
            Results results, String name, Map<String, TreeMap<Double, List<Map<String, Object>>>> byPolicy)
            throws IOException {
        List<Plots.Line> service = new ArrayList<>();
        List<Plots.Line> attempts = new ArrayList<>();
        List<Plots.Line> loads = new ArrayList<>();
        for (Map.Entry<String, TreeMap<Double, List<Map<String, Object>>>> e : byPolicy.entrySet()) {
            StringBuilder keys = new StringBuilder();
            e.getValue()
                    .lastEntry()
                    .getValue()
                    .forEach(r -> keys.append(keys.length() == 0 ? "'" : ", '")
                            .append(r.get("run_key"))
                            .append('\''));
            List<Map<String, Object>> rows =
                    results.query("SELECT second, sum(good) * 1.0 / nullif(sum(wanted), 0) AS s, "
                            + "sum(attempts) / nullif(sum(came), 0) AS a, avg(load_p5) AS l5, avg(load_p50) AS l50, avg(load_p95) AS l95 FROM "
                            + results.from("seconds") + " WHERE run_key IN (" + keys
                            + ") GROUP BY second ORDER BY second");
            service.add(timeline(e.getKey(), rows, "s"));
            attempts.add(timeline(e.getKey(), rows, "a"));
            if (byPolicy.size() <= 2) {
                loads.add(timeline(e.getKey() + ", 5th of 100", rows, "l5"));
            }
            loads.add(timeline(e.getKey() + ", median", rows, "l50"));
            loads.add(timeline(e.getKey() + ", 95th of 100", rows, "l95"));
        }
        draw(name, "service-by-second", "Service by second, at the largest " + x, "second", service, false);
        draw(
                name,
                "attempts-by-second",
                "Attempts for each that comes, at the largest " + x,
                "second",
                attempts,
                false);
        draw(name, "load-by-second", "Load of members as a part of what they can bear", "second", loads, false);
    }

    private static Plots.Line timeline(String name, List<Map<String, Object>> rows, String column) {
        List<Map<String, Object>> known = rows.stream()
                .filter(r -> !Double.isNaN(Plots.number(r, column)))
                .toList();
        return new Plots.Line(
                name,
                known.stream().mapToDouble(r -> Plots.number(r, "second")).toArray(),
                known.stream().mapToDouble(r -> Plots.number(r, column)).toArray(),
                null);
    }

    private void draw(
            String scenario, String figure, String title, String along, List<Plots.Line> lines, boolean logarithmic)
            throws IOException {
        byte[] image = Plots.png(title, along, "", lines, logarithmic);
        page.append("<p><img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(image))
                .append("\">");
        if (png != null) {
            Files.createDirectories(png);
            Files.write(png.resolve(scenario + "-" + figure + ".png"), image);
        }
    }
}
