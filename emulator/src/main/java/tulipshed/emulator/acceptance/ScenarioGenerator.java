package tulipshed.emulator.acceptance;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;

/**
 * Draws a day of a kind from a seed, as the text of a scenario: whoever wants to look at one keeps the text and plays it
 * like any other. The ranges are those that the operators state for their site.
 */
public final class ScenarioGenerator {
    private static final int LENGTH_S = 45;
    private static final int SETTLE_S = 3;
    private static final double MEAN_OF_USUAL = 0.68; // what all classes ask for in the mean, of the first one's load
    private static final double CORES_A_MEMBER = 2.1; // cores times their speed, in the mean
    private static final int CALLS_A_MEMBER = 4; // of discovery: a list is asked for again after each change

    private final ScenarioKind kind;
    private final UniformRandomProvider random;
    private final StringBuilder text = new StringBuilder();
    private final Beside beside;
    private final int sites;
    private final int nodes;
    private final int members;

    /** How large days are: about that many nodes and members. */
    public record Size(int nodes, int members) {}

    /** What every day has beside its own: a quiet time before all troubles, which is not judged, and more of a scenario. */
    public record Beside(int quietS, String forms) {
        /** Days as they are drawn. */
        public static final Beside NOTHING = new Beside(0, "");
    }

    private ScenarioGenerator(ScenarioKind kind, long seed, Size size, Beside beside) {
        this.kind = kind;
        this.beside = beside;
        // One number, which the source spreads over its state: seeds that follow on each other draw nothing alike.
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * ScenarioKind.values().length + kind.ordinal());
        // One site in six days has no zones.
        sites = random.nextInt(6) == 0 ? 1 : 3 + random.nextInt(3);
        nodes = (int) Math.max(1, Math.round(size.nodes * between(0.92, 1.08)));
        members = (int) Math.max(4, Math.round(size.members * between(0.92, 1.08)));
    }

    /** The text of the day. */
    public static String text(ScenarioKind kind, long seed, Size size) {
        return text(kind, seed, size, Beside.NOTHING);
    }

    /** The text of the day with more beside it. */
    public static String text(ScenarioKind kind, long seed, Size size, Beside beside) {
        ScenarioGenerator d = new ScenarioGenerator(kind, seed, size, beside);
        d.site();
        d.day();
        d.oneOfTheSite();
        d.holdUps();
        d.clocks();
        return d.text + beside.forms + (beside.forms.isEmpty() ? "" : "\n");
    }

    /** The day, played by that policy. */
    static Scenario scenario(ScenarioKind kind, long seed, Size size, Beside beside, Overrides overrides) {
        return ScenarioReader.read(
                kind.word() + "-" + seed, text(kind, seed, size, beside).getBytes(StandardCharsets.UTF_8), overrides);
    }

    private double between(double from, double to) {
        return from + (to - from) * random.nextDouble();
    }

    private void say(String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    // ---- The site ----

    private void site() {
        say("; A day of the standing test: %s.", kind.word());
        say("(seconds %d)\n(settle-s %d)", beside.quietS + LENGTH_S, beside.quietS + SETTLE_S);
        say(
                "(network (sites %d) (within-ms %.2f) (between-ms %.2f) (jitter-ms 0.3))",
                sites, between(0.2, 0.5), between(5.8, 10));
        say(
                "(nodes (count %d) (skew %.2f) (restart-ms %.0f) (leave-ms 3200) (max-attempts 6) (connect-timeout-ms 250))",
                nodes, between(1, 4), between(1000, 1600));
        int small = Math.max(1, (int) Math.round(members * 0.39));
        say("(members std-2c (count %d) (cores 2) (speed %.2f))", small, between(0.85, 1.1));
        say("(members wide-3c (count %d) (cores 3) (speed %.2f))", Math.max(1, members - small), between(0.64, 0.86));
        // Of all connections together 9.4 to 18 fill a core; those of the first class ask for the most.
        double mean = 1 / between(9.4, 18);
        double usual = mean / MEAN_OF_USUAL;
        double lifeS = between(31, 62);
        say(
                "(class slot-board (share 51) (aim-ms 800) (deadline-ms 4800) (worth 1) (message-aim-ms 60) (life-s %.1f) (load %.4f))",
                lifeS, usual);
        say(
                "(class gate-status (share 35) (aim-ms 300) (deadline-ms 1200) (worth 1) (message-aim-ms 150) (life-s %.1f) (load %.4f))",
                lifeS, usual * between(0.2, 0.5));
        say(
                "(class slot-booking (share 14) (aim-ms 500) (deadline-ms 3000) (worth 3) (message-aim-ms 100) (life-s %.1f) (load %.4f))",
                lifeS * between(0.3, 1), usual * between(0.2, 0.5));
        String[] tenants = {
            "vltava-kontejner",
            "decinska-doprava",
            "melnik-terminal",
            "usti-preprava",
            "polabi-logistika",
            "lovosicka-spedice",
            "roudnice-trans"
        };
        double[] shares = {0.21, 0.18, 0.16, 0.16, 0.13, 0.09, 0.07};
        for (int i = 0; i < tenants.length; i++) {
            say("(tenant %s (share %.2f))", tenants[i], shares[i]);
        }
        say(
                "(member-model (setup-ms 8) (warm-ms %.0f) (cold-share %.2f) (crowding %.3f) (message-ms %.1f) (reset-backlog-ms %.0f)"
                        + " (cap %.1f) (group-load %.4f) (tells-delay 0))",
                between(14_000, 22_000),
                between(0.12, 0.3),
                between(0.02, 0.08),
                between(2, 7),
                between(700, 2500),
                between(1.6, 4),
                1.5 * mean);
        // So much of all cores is connections' own work; groups ask for about as much again, the more the further they
        // spread.
        double standing = members * CORES_A_MEMBER * between(0.38, 0.5) / mean;
        say(
                "(clients (per-second %.2f) (standing %d) (groups %d) (grouped 1) (backoff-ms %.0f) (tries 4) (return-ms %.0f)"
                        + " (give-up-share 0.01) (load-spread %.2f) (load-swing %.2f))",
                standing / lifeS,
                Math.round(standing),
                Math.max(4, Math.round(standing / between(25, 50))),
                between(20, 300),
                between(150, 900),
                between(0.94, 1.5),
                between(0.3, 0.9));
        double calls = kind == ScenarioKind.HERD ? between(0.15, 0.4) : between(0.5, 1.5);
        say(
                "(discovery (lag-ms %.0f) (detect-ms %.0f) (silent-ms %.0f) (calls-per-s %.1f) (waiting %d))",
                between(500, 2500),
                between(1000, 3000),
                between(5000, 8000),
                Math.max(CALLS_A_MEMBER, nodes * calls),
                nodes);
    }

    // ---- What happens ----

    private void trouble(String name, double atS, String format, Object... values) {
        say("(trouble %s (at-s %.1f) %s)", name, beside.quietS + atS, String.format(Locale.ROOT, format, values));
    }

    private int zone() {
        return random.nextInt(sites);
    }

    /** One of eight members is slow, or answers with errors at once. */
    private void bad() {
        if (random.nextBoolean()) {
            trouble("slow-members", 0.5, "(share 0.125) (over-s %d) (factor %.1f)", LENGTH_S, between(2, 5));
        } else {
            trouble("failing-members", 0.5, "(share 0.125) (over-s %d) (factor %.2f)", LENGTH_S, between(0.3, 1));
        }
    }

    private void day() {
        double at = between(8, 14);
        switch (kind) {
            case CALM -> {
                trouble("burst", at, "(over-s %.1f) (factor 1.5)", between(4, 8));
                if (sites > 1) {
                    trouble(
                            "shift",
                            at + 10,
                            "(over-s %.1f) (factor %.1f) (count %d)",
                            between(8, 15),
                            between(1.3, 2),
                            zone());
                }
            }
            case ROLL -> {
                double over = between(18, 26);
                trouble("roll-nodes", at - 4, "(over-s %.1f) (count 10)", over);
                trouble("deploy-members", at - 4, "(share 0.5) (over-s %.1f)", over);
                trouble("reload", at + between(0, 12), "(over-s 1)");
            }
            case HERD -> {
                bad();
                trouble("deploy-members", at - 3, "(share %.2f) (over-s 5)", between(0.1, 0.3));
                trouble("kill-nodes", at, "(share 0.7) (over-s 0.2)");
            }
            case ZONE -> {
                bad();
                if (sites > 1) {
                    int lost = zone();
                    trouble("lose-zone", at, "(over-s 5) (count %d)", lost);
                    trouble(
                            "partition",
                            at + between(7, 14),
                            "(over-s %.1f) (count %d)",
                            between(3, 6),
                            (lost + 1 + random.nextInt(sites - 1)) % sites);
                } else {
                    trouble("kill-members", at, "(share 0.3) (over-s 0.1)");
                    trouble("add-members", at + 5, "(share 0.3) (over-s 0.1)");
                }
            }
            case SPLIT -> {
                if (sites > 1) {
                    trouble("partition", at, "(over-s 6) (count %d)", zone());
                } else {
                    trouble("silence-members", at, "(share 0.2) (over-s 6)");
                }
                trouble("late-list", at - 2, "(over-s 12) (factor %.1f)", between(1, 4));
                trouble("lose-answers", at - 3, "(share %.3f) (over-s 14)", between(0.02, 0.08));
                trouble("reset-requests", at - 3, "(share %.3f) (over-s 14)", between(0.02, 0.08));
            }
            case JOIN -> {
                trouble("add-members", at, "(share 0.6) (over-s 7)");
                trouble("remove-members", at + 0.5, "(share 0.6) (over-s 6.5)");
                trouble("spoil-answers", at - 2, "(share %.3f) (over-s 14)", between(0.02, 0.06));
                trouble("early-clients", at - 2, "(share %.2f) (over-s 20)", between(0.05, 0.2));
                trouble("impatient", at, "(over-s %.1f)", between(5, 12));
            }
            default -> throw new IllegalStateException(kind.word());
        }
    }

    /** On half of the days nodes are held up now and then between reading their clocks and writing. */
    private void holdUps() {
        if (random.nextBoolean()) {
            trouble("hold-up-nodes", between(2, 8), "(share %.2f) (over-s %.1f)", between(0.3, 1), between(10, 40));
        }
    }

    /** On a third of the days clocks of members are off by little or much, and those of nodes began at other times. */
    private void clocks() {
        if (random.nextInt(3) == 0) {
            trouble(
                    random.nextBoolean() ? "clocks-ahead" : "clocks-behind",
                    between(0, 30),
                    "(share %.2f) (factor %d)",
                    random.nextBoolean() ? between(0.1, 0.5) : 1,
                    random.nextBoolean() ? 3 : 3600);
            trouble("node-clocks", 0, "(share 0.5) (factor 7200)");
        }
    }

    /** One of the site's own troubles comes beside each day's. */
    private void oneOfTheSite() {
        double at = between(25, 31);
        switch (random.nextInt(kind == ScenarioKind.CALM ? 2 : 5)) {
            case 0 -> {
                for (int i = 0; i < 3; i++) {
                    trouble(
                            "pause-members",
                            at + 3 * i,
                            "(share %.2f) (over-s %.3f)",
                            between(0.1, 0.44),
                            between(0.075, 0.18));
                }
            }
            case 1 -> trouble("dark-list", at, "(over-s %.1f)", between(5.9, 12));
            case 2 -> trouble("burst", at, "(over-s %.1f) (factor %.2f)", between(2.1, 9), between(1.4, 2.2));
            case 3 -> trouble("deploy-members", at, "(share %.2f) (over-s 12)", between(0.1, 0.4));
            default -> trouble("remove-members", at, "(share %.2f) (over-s 10)", between(0.1, 0.3));
        }
    }
}
