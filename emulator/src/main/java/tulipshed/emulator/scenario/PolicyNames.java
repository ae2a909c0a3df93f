package tulipshed.emulator.scenario;

import java.util.List;

/** What may decide in a node of the emulator. */
public final class PolicyNames {
    /**
     * The decision module as it is, the whole core around it, what they are compared with, and the core with a fault put in
     * on purpose, which proves that the checkers see it.
     */
    public static final List<String> NAMES = List.of(
            "module",
            "core",
            "random",
            "least-of-two",
            "round-robin",
            "bounded-hashing",
            "peak-ewma",
            "clairvoyant",
            "sees-late-200",
            "sees-late-1000",
            "sees-late-5000",
            "core-late-answer",
            "core-second-answer",
            "core-drained-member",
            "core-cold-member",
            "core-silence",
            "core-whole-grace",
            "core-no-last-answers",
            "core-trusts-clocks");

    private PolicyNames() {}
}
