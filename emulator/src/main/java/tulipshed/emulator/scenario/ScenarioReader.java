package tulipshed.emulator.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import tulipshed.emulator.scenario.Scenario.ClassOf;
import tulipshed.emulator.scenario.Scenario.Clients;
import tulipshed.emulator.scenario.Scenario.Discovery;
import tulipshed.emulator.scenario.Scenario.MemberKind;
import tulipshed.emulator.scenario.Scenario.MemberModel;
import tulipshed.emulator.scenario.Scenario.Network;
import tulipshed.emulator.scenario.Scenario.Nodes;
import tulipshed.emulator.scenario.Scenario.TenantOf;
import tulipshed.emulator.scenario.Scenario.Trouble;
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
    /** What may go wrong; each with what its figures mean in docs/emulator.md. */
    public static final List<String> TROUBLES = List.of(
            "deploy-members",
            "deploy-nodes",
            "kill-members",
            "crash-members",
            "kill-nodes",
            "add-members",
            "remove-members",
            "slow-members",
            "pause-members",
            "dark-list",
            "burst",
            "partition",
            "impatient",
            "silence-members",
            "lose-zone",
            "failing-members",
            "roll-nodes",
            "reload",
            "late-list",
            "hold-up-nodes",
            "hot-restart-nodes",
            "clocks-ahead",
            "clocks-behind",
            "node-clocks",
            "lose-answers",
            "spoil-answers",
            "reset-requests",
            "early-clients",
            "shift");

    /** What may go wrong between processes; only {@code emulator fault-injection} can make it. */
    public static final List<String> LINKS =
            List.of("cut-links", "slow-links", "reset-links", "deaf-links", "mute-discovery", "stop-nodes");
    /** What real nodes have from links between the parts, and the world must not make as well. */
    public static final List<String> OVER_LINKS = Stream.concat(
                    LINKS.stream(), Stream.of("partition", "silence-members"))
            .toList();

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

    private Network network() {
        Section s = top.section("network");
        Network n = new Network(
                s.whole("sites", 1, 100, 1),
                s.number("within-ms", 0.05, MINUTE, 0.5),
                s.number("between-ms", 0.05, MINUTE, 8),
                s.number("jitter-ms", 0, MINUTE, 0.2));
        s.done();
        return n;
    }

    private Nodes nodes() {
        Section s = top.section("nodes");
        Nodes n = new Nodes(
                Math.max(1, scaled(s.whole("count", 1, 10_000, 5))),
                s.number("skew", 0, 10, 0),
                s.number("restart-ms", 1, MINUTE, 1200),
                s.number("leave-ms", 1, MINUTE, 3200),
                s.whole("groups", 0, 1, 1) == 1,
                s.whole("cancel", 0, 1, 1) == 1,
                s.whole("max-attempts", 1, 20, 3),
                s.number("max-retry-after-ms", 0, MINUTE, 2000),
                s.number("connect-timeout-ms", 1, MINUTE, 1000));
        s.done();
        return n;
    }

    private List<MemberKind> kinds() {
        List<MemberKind> out = new ArrayList<>();
        for (Map.Entry<String, Section> e : top.named("members").entrySet()) {
            Section s = e.getValue();
            int cores = s.whole("cores", 1, 1024, 2);
            double speed = s.number("speed", 0.01, 100, 1);
            out.add(new MemberKind(
                    e.getKey(),
                    Math.max(1, scaled(s.whole("count", 1, 100_000, 20))),
                    cores,
                    speed,
                    s.number("share", 0.001, 10_000, cores)));
            s.done();
        }
        if (out.isEmpty()) {
            problems.add(top.place(), "no members; expected (members KIND (count N) ...)");
        }
        return out;
    }

    private MemberModel members() {
        Section s = top.section("member-model");
        MemberModel m = new MemberModel(
                s.number("setup-ms", 0.001, MINUTE, 8),
                s.whole("exponential", 0, 1, 1) == 1,
                s.whole("queue", 1, 1_000_000, 4),
                s.number("warm-ms", 0, DAY, 22_000),
                s.number("cold-share", 0.001, 1, 0.12),
                s.number("fall-factor", 1, 1e9, 4),
                s.number("fall-ms", 10, MINUTE, 1500),
                s.number("crowding", 0, 10, 0.05),
                s.number("message-ms", 0.01, MINUTE, 4),
                s.number("reset-backlog-ms", 1, DAY, 1500),
                s.number("reset-share", 0, 1, 0.3),
                s.number("cap", 0.01, 1e6, 2.5),
                s.number("fills", 0.001, 1e6, 4),
                s.number("drain-ms", 0, DAY, 3000),
                s.number("restart-ms", 1, DAY, 4000),
                s.number("group-load", 0, 1000, 0.05),
                s.whole("tells-delay", 0, 1, 1) == 1,
                s.number("drain-grace-ms", 0, MINUTE, 300));
        s.done();
        return m;
    }

    private Discovery discovery() {
        Section s = top.section("discovery");
        Discovery d = new Discovery(
                s.number("lag-ms", 0, MINUTE, 1000),
                s.number("detect-ms", 0, DAY, 2000),
                s.number("silent-ms", 0, DAY, 7000),
                scale * s.number("calls-per-s", 0.1, 1e9, 4),
                scale * s.number("waiting", 0, 1e9, 20),
                s.number("ask-within-ms", 1, DAY, 10_000),
                s.whole("pushed", 0, 1, 0) == 1);
        s.done();
        return d;
    }

    private List<ClassOf> classes() {
        List<ClassOf> out = new ArrayList<>();
        for (Map.Entry<String, Section> e : top.named("class").entrySet()) {
            Section s = e.getValue();
            out.add(new ClassOf(
                    e.getKey(),
                    s.number("share", 0, 1e6, 1),
                    s.number("aim-ms", 1, DAY, 800),
                    s.number("deadline-ms", 1, DAY, 4800),
                    s.number("worth", 0, 1e6, 1),
                    s.number("message-aim-ms", 0.1, DAY, 60),
                    1000 * s.number("life-s", 0.001, 1e6, 50),
                    s.number("load", 0, 1000, 0.01)));
            s.done();
        }
        return out.isEmpty() ? List.of(new ClassOf("slot-board", 1, 800, 4800, 1, 60, 50_000, 0.01)) : out;
    }

    private List<TenantOf> tenants() {
        Map<String, TenantOf> out = new LinkedHashMap<>();
        for (Map.Entry<String, Section> e : top.named("tenant").entrySet()) {
            Section s = e.getValue();
            double share = s.number("share", 0, 1, 0.1);
            out.put(
                    e.getKey(),
                    new TenantOf(
                            e.getKey(), share, s.number("quota-per-s", 0, 1e9, 0), s.number("asks", 0, 1e6, share)));
            s.done();
        }
        return out.isEmpty() ? List.of(new TenantOf("all", 1, 0, 1)) : List.copyOf(out.values());
    }

    private Clients clients() {
        Section s = top.section("clients");
        Clients c = new Clients(
                scale * s.number("per-second", 0, 1e9, 20),
                scaled(s.whole("standing", 0, 100_000_000, 0)),
                scaled(s.whole("groups", 0, 10_000_000, 0)),
                s.number("grouped", 0, 1, 0.5),
                s.number("try-share", 0.01, 1, 1),
                s.number("backoff-ms", 1, DAY, 40),
                s.number("longest-backoff-ms", 1, DAY, 3000),
                s.number("heed", 0, 1, 0.85),
                s.whole("tries", 1, 1000, 4),
                s.number("load-changes-per-s", 0, 1000, 0.1),
                s.number("load-spread", 0, 3, 1),
                s.number("load-swing", 0, 3, 0.5),
                s.number("group-skew", 0, 3, 0.75),
                s.number("return-ms", 1, DAY, 400),
                s.number("rest-ms", 1, DAY, 3000),
                s.number("give-up-share", 0, 1, 0.01),
                s.whole("hints", 0, 1, 0) == 1,
                s.whole("tells-load", 0, 1, 0) == 1,
                s.whole("come-at-first", 0, 1, 0) == 1);
        s.done();
        return c;
    }

    private List<Trouble> troubles() {
        List<Trouble> out = new ArrayList<>();
        for (Form.Sequence s : top.lists("trouble")) {
            if (s.items().size() < 2 || !(s.items().get(1) instanceof Form.Symbol w)) {
                problems.add(s.place(), "expected (trouble KIND (at-s N) ...)");
                continue;
            }
            if (!TROUBLES.contains(w.name()) && !LINKS.contains(w.name())) {
                List<String> known =
                        Stream.concat(TROUBLES.stream(), LINKS.stream()).toList();
                problems.add(
                        w.place(),
                        "expected one of " + String.join(", ", known) + NameSuggestions.hint(w.name(), known));
            }
            Section f = top.of("trouble." + w.name(), s, 2);
            out.add(new Trouble(
                    1000 * f.number("at-s", 0, 86_400, 0),
                    w.name(),
                    f.number("share", 0, 1, 0.2),
                    1000 * f.number("over-s", 0, 86_400, 0),
                    f.number("factor", 0, 1e6, 3),
                    f.whole("count", 0, 100_000, 0)));
            f.done();
        }
        return out;
    }
}
