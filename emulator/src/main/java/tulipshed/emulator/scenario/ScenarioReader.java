package tulipshed.emulator.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.ReaderLimits;
import tulipshed.sexpr.SexprReader;

/** Reads scenario files; all that is wrong with one is told at once, each with its place. */
public final class ScenarioReader {
    private static final ReaderLimits BOUNDS = new ReaderLimits(1 << 20, 16, 20_000);
    private static final double MINUTE = 60_000;
    private static final double DAY = 24 * 60 * MINUTE;
    private final Diagnostics problems;
    private final Section top;
    /** That many times the nodes, members and clients, so that each has as much to do as before. */
    private double scale = 1;

    private ScenarioReader(Diagnostics problems, Section top) {
        this.problems = problems;
        this.top = top;
    }

    /**
     * Reads a file.
     *
     * @throws IllegalArgumentException with all problems, a line each
     */
    public static Scenario load(Path file, Overrides overrides) {
        try {
            String name = file.getFileName().toString();
            return read(name.replaceAll("\\.sexp$", ""), Files.readAllBytes(file), overrides);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a scenario of that name from text in UTF-8. */
    public static Scenario read(String name, byte[] text, Overrides overrides) {
        Diagnostics problems = new Diagnostics(name);
        List<Form> forms = SexprReader.read(text, BOUNDS, problems);
        Section top = new Section("", tulipshed.sexpr.SourcePosition.START, forms, problems, overrides);
        Scenario scenario = new ScenarioReader(problems, top).scenario(name);
        String unused = overrides.unused();
        if (!problems.none() || !unused.isEmpty()) {
            throw new IllegalArgumentException(problems + (problems.none() || unused.isEmpty() ? "" : "\n") + unused);
        }
        return scenario;
    }

    private int scaled(int count) {
        return (int) Math.round(count * scale);
    }

    private Scenario scenario(String name) {
        scale = top.number("scale", 0.001, 100_000, 1);
        Scenario out = new Scenario(
                name,
                1000 * top.number("seconds", 0.1, 86_400, 60),
                1000 * top.number("settle-s", 0, 3600, 0),
                top.word("policy", PolicyNames.NAMES, "module"),
                network(),
                nodes(),
                kinds(),
                members(),
                discovery(),
                classes(),
                tenants(),
                clients(),
                troubles());
        top.done();
        return out;
    }

    private NetworkSettings network() {
        Section section = top.section("network");
        NetworkSettings network = new NetworkSettings(
                section.whole("sites", 1, 100, 1),
                section.number("within-ms", 0.05, MINUTE, 0.5),
                section.number("between-ms", 0.05, MINUTE, 8),
                section.number("jitter-ms", 0, MINUTE, 0.2));
        section.done();
        return network;
    }

    private NodeSettings nodes() {
        Section section = top.section("nodes");
        NodeSettings nodes = new NodeSettings(
                Math.max(1, scaled(section.whole("count", 1, 10_000, 5))),
                section.number("skew", 0, 10, 0),
                section.number("restart-ms", 1, MINUTE, 1200),
                section.number("leave-ms", 1, MINUTE, 3200),
                section.whole("groups", 0, 1, 1) == 1,
                section.whole("cancel", 0, 1, 1) == 1,
                section.whole("max-attempts", 1, 20, 3),
                section.number("max-retry-after-ms", 0, MINUTE, 2000),
                section.number("connect-timeout-ms", 1, MINUTE, 1000));
        section.done();
        return nodes;
    }

    private List<EndpointType> kinds() {
        List<EndpointType> out = new ArrayList<>();
        for (Map.Entry<String, Section> e : top.named("members").entrySet()) {
            Section section = e.getValue();
            int cores = section.whole("cores", 1, 1024, 2);
            double speed = section.number("speed", 0.01, 100, 1);
            out.add(new EndpointType(
                    e.getKey(),
                    Math.max(1, scaled(section.whole("count", 1, 100_000, 20))),
                    cores,
                    speed,
                    section.number("share", 0.001, 10_000, cores)));
            section.done();
        }
        if (out.isEmpty()) {
            problems.add(top.place(), "no members; expected (members KIND (count N) ...)");
        }
        return out;
    }

    private EndpointModel members() {
        Section section = top.section("member-model");
        EndpointModel model = new EndpointModel(
                section.number("setup-ms", 0.001, MINUTE, 8),
                section.whole("exponential", 0, 1, 1) == 1,
                section.whole("queue", 1, 1_000_000, 4),
                section.number("warm-ms", 0, DAY, 22_000),
                section.number("cold-share", 0.001, 1, 0.12),
                section.number("fall-factor", 1, 1e9, 4),
                section.number("fall-ms", 10, MINUTE, 1500),
                section.number("crowding", 0, 10, 0.05),
                section.number("message-ms", 0.01, MINUTE, 4),
                section.number("reset-backlog-ms", 1, DAY, 1500),
                section.number("reset-share", 0, 1, 0.3),
                section.number("cap", 0.01, 1e6, 2.5),
                section.number("fills", 0.001, 1e6, 4),
                section.number("drain-ms", 0, DAY, 3000),
                section.number("restart-ms", 1, DAY, 4000),
                section.number("group-load", 0, 1000, 0.05),
                section.whole("tells-delay", 0, 1, 1) == 1,
                section.number("drain-grace-ms", 0, MINUTE, 300));
        section.done();
        return model;
    }

    private DiscoverySettings discovery() {
        Section section = top.section("discovery");
        DiscoverySettings discovery = new DiscoverySettings(
                section.number("lag-ms", 0, MINUTE, 1000),
                section.number("detect-ms", 0, DAY, 2000),
                section.number("silent-ms", 0, DAY, 7000),
                scale * section.number("calls-per-s", 0.1, 1e9, 4),
                scale * section.number("waiting", 0, 1e9, 20),
                section.number("ask-within-ms", 1, DAY, 10_000),
                section.whole("pushed", 0, 1, 0) == 1);
        section.done();
        return discovery;
    }

    private List<RequestClassSettings> classes() {
        List<RequestClassSettings> out = new ArrayList<>();
        for (Map.Entry<String, Section> e : top.named("class").entrySet()) {
            Section section = e.getValue();
            out.add(new RequestClassSettings(
                    e.getKey(),
                    section.number("share", 0, 1e6, 1),
                    section.number("aim-ms", 1, DAY, 800),
                    section.number("deadline-ms", 1, DAY, 4800),
                    section.number("worth", 0, 1e6, 1),
                    section.number("message-aim-ms", 0.1, DAY, 60),
                    1000 * section.number("life-s", 0.001, 1e6, 50),
                    section.number("load", 0, 1000, 0.01)));
            section.done();
        }
        return out.isEmpty() ? List.of(new RequestClassSettings("slot-board", 1, 800, 4800, 1, 60, 50_000, 0.01)) : out;
    }

    private List<TenantSettings> tenants() {
        Map<String, TenantSettings> out = new LinkedHashMap<>();
        for (Map.Entry<String, Section> e : top.named("tenant").entrySet()) {
            Section section = e.getValue();
            double share = section.number("share", 0, 1, 0.1);
            out.put(
                    e.getKey(),
                    new TenantSettings(
                            e.getKey(),
                            share,
                            section.number("quota-per-s", 0, 1e9, 0),
                            section.number("asks", 0, 1e6, share)));
            section.done();
        }
        return out.isEmpty() ? List.of(new TenantSettings("all", 1, 0, 1)) : List.copyOf(out.values());
    }

    private ClientSettings clients() {
        Section section = top.section("clients");
        ClientSettings clients = new ClientSettings(
                scale * section.number("per-second", 0, 1e9, 20),
                scaled(section.whole("standing", 0, 100_000_000, 0)),
                scaled(section.whole("groups", 0, 10_000_000, 0)),
                section.number("grouped", 0, 1, 0.5),
                section.number("try-share", 0.01, 1, 1),
                section.number("backoff-ms", 1, DAY, 40),
                section.number("longest-backoff-ms", 1, DAY, 3000),
                section.number("heed", 0, 1, 0.85),
                section.whole("tries", 1, 1000, 4),
                section.number("load-changes-per-s", 0, 1000, 0.1),
                section.number("load-spread", 0, 3, 1),
                section.number("load-swing", 0, 3, 0.5),
                section.number("group-skew", 0, 3, 0.75),
                section.number("return-ms", 1, DAY, 400),
                section.number("rest-ms", 1, DAY, 3000),
                section.number("give-up-share", 0, 1, 0.01),
                section.whole("hints", 0, 1, 0) == 1,
                section.whole("tells-load", 0, 1, 0) == 1,
                section.whole("come-at-first", 0, 1, 0) == 1);
        section.done();
        return clients;
    }

    private List<FaultSettings> troubles() {
        List<FaultSettings> out = new ArrayList<>();
        for (Form.Sequence sequence : top.lists("trouble")) {
            if (sequence.items().size() < 2 || !(sequence.items().get(1) instanceof Form.Symbol w)) {
                problems.add(sequence.place(), "expected (trouble KIND (at-s N) ...)");
                continue;
            }
            if (!FaultKinds.ALL.contains(w.name())) {
                List<String> known = FaultKinds.ALL;
                problems.add(
                        w.place(),
                        "expected one of " + String.join(", ", known) + NameSuggestions.hint(w.name(), known));
            }
            Section section = top.of("trouble." + w.name(), sequence, 2);
            out.add(new FaultSettings(
                    1000 * section.number("at-s", 0, 86_400, 0),
                    w.name(),
                    section.number("share", 0, 1, 0.2),
                    1000 * section.number("over-s", 0, 86_400, 0),
                    section.number("factor", 0, 1e6, 3),
                    section.whole("count", 0, 100_000, 0)));
            section.done();
        }
        return out;
    }
}
