package tulipshed.emulator.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.ReaderLimits;
import tulipshed.sexpr.SexprReader;

/**
 * A plan of many runs: some scenarios, each for every combination of the figures that vary, or for some drawn by chance,
 * and for every seed.
 */
final class Experiment {
    private static final ReaderLimits BOUNDS = new ReaderLimits(1 << 18, 16, 5000);
    private static final List<String> KNOWN = List.of("scenario", "seeds", "first-seed", "vary", "draw", "set");

    /** One run that is to be done. */
    record Planned(String key, Scenario scenario, Overrides overrides, long seed) {}

    private final List<Path> scenarios = new ArrayList<>();
    private final Map<String, List<String>> vary = new LinkedHashMap<>();
    private final Map<String, double[]> draw = new LinkedHashMap<>();
    private final Map<String, String> set = new LinkedHashMap<>();
    private int draws;
    private int seeds = 1;
    private int firstSeed = 1;
    private final Diagnostics problems;

    private Experiment(Diagnostics problems) {
        this.problems = problems;
    }

    /**
     * Reads a plan.
     *
     * @throws IllegalArgumentException with all that is wrong, a line each
     */
    static Experiment load(Path file) {
        Diagnostics problems = new Diagnostics(file.toString());
        Experiment e = new Experiment(problems);
        try {
            for (Form f : SexprReader.read(Files.readAllBytes(file), BOUNDS, problems)) {
                if (f instanceof Form.Sequence s
                        && s.head() != null
                        && s.items().size() > 1) {
                    e.entry(file, s);
                } else {
                    problems.add(f.place(), "expected (NAME VALUE ...), found " + f.describe());
                }
            }
        } catch (IOException x) {
            throw new UncheckedIOException(x);
        }
        if (problems.none() && e.scenarios.isEmpty()) {
            problems.add(tulipshed.sexpr.SourcePosition.START, "no (scenario \"FILE\")");
        }
        if (!problems.none()) {
            throw new IllegalArgumentException(problems.toString());
        }
        return e;
    }

    private void entry(Path file, Form.Sequence s) {
        List<Form> rest = s.items().subList(1, s.items().size());
        switch (s.head()) {
            case "scenario" -> rest.forEach(f -> scenarios.add(file.resolveSibling(text(f))));
            case "seeds" -> seeds = whole(rest.get(0));
            case "first-seed" -> firstSeed = whole(rest.get(0));
            case "set" -> set.put(text(rest.get(0)), text(rest.get(rest.size() - 1)));
            case "vary" ->
                vary.put(
                        text(rest.get(0)),
                        rest.subList(1, rest.size()).stream().map(this::text).toList());
            case "draw" -> {
                draws = whole(rest.get(0));
                for (Form f : rest.subList(1, rest.size())) {
                    if (f instanceof Form.Sequence d && d.items().size() == 3) {
                        draw.put(text(d.items().get(0)), new double[] {
                            Double.parseDouble(text(d.items().get(1))),
                            Double.parseDouble(text(d.items().get(2)))
                        });
                    } else {
                        problems.add(f.place(), "expected (PATH FROM TO)");
                    }
                }
            }
            default ->
                problems.add(
                        s.place(), "nothing is called " + s.head() + " here" + NameSuggestions.hint(s.head(), KNOWN));
        }
    }

    private String text(Form f) {
        if (f instanceof Form.Symbol w) {
            return w.name();
        } else if (f instanceof Form.StringLiteral t) {
            return t.value();
        } else if (f instanceof Form.IntegerLiteral w) {
            return Long.toString(w.value());
        } else if (f instanceof Form.DecimalLiteral d) {
            return Double.toString(d.value());
        }
        problems.add(f.place(), "expected a word, a text or a number, found " + f.describe());
        return "";
    }

    private int whole(Form f) {
        if (f instanceof Form.IntegerLiteral w && w.value() > 0 && w.value() < 1_000_000) {
            return (int) w.value();
        }
        problems.add(f.place(), "expected a number from 1 on, found " + f.describe());
        return 1;
    }

    /** All runs, seed by seed, so that what is stopped early has some of everything. */
    List<Planned> runs() {
        List<Map<String, String>> points = new ArrayList<>(List.of(set));
        for (Map.Entry<String, List<String>> v : vary.entrySet()) {
            List<Map<String, String>> more = new ArrayList<>();
            for (Map<String, String> p : points) {
                for (String value : v.getValue()) {
                    Map<String, String> q = new LinkedHashMap<>(p);
                    q.put(v.getKey(), value);
                    more.add(q);
                }
            }
            points = more;
        }
        if (draws > 0) {
            // The same points whenever the plan is read, or a resumed sweep would do others.
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {7, draws});
            List<Map<String, String>> more = new ArrayList<>();
            for (int i = 0; i < draws; i++) {
                Map<String, String> drawn = new LinkedHashMap<>();
                draw.forEach((path, range) -> drawn.put(
                        path,
                        Double.toString(
                                Math.round((range[0] + (range[1] - range[0]) * random.nextDouble()) * 1000) / 1000.0)));
                for (Map<String, String> p : points) {
                    Map<String, String> q = new LinkedHashMap<>(p);
                    q.putAll(drawn);
                    more.add(q);
                }
            }
            points = more;
        }
        List<Planned> out = new ArrayList<>();
        for (int seed = firstSeed; seed < firstSeed + seeds; seed++) {
            for (Path file : scenarios) {
                for (Map<String, String> p : points) {
                    Overrides o = new Overrides(p);
                    Scenario s = ScenarioReader.load(file, o);
                    out.add(new Planned(RunKeys.key(s, o, seed), s, o, seed));
                }
            }
        }
        return out;
    }
}
