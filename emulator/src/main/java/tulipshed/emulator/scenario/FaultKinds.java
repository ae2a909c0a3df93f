package tulipshed.emulator.scenario;

import java.util.List;
import java.util.stream.Stream;

/** The kinds of faults, by the names that scenario files use. */
public final class FaultKinds {
    /** Faults that the emulated world injects; {@code docs/emulator.md} says what the numbers of each mean. */
    public static final List<String> EMULATED = List.of(
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

    /** Faults of links and of processes between them, which only {@code emulator fault-injection} injects. */
    public static final List<String> LINK_FAULTS =
            List.of("cut-links", "slow-links", "reset-links", "deaf-links", "mute-discovery", "stop-nodes");

    /** Faults that the world injects into nodes which are real processes, and into no others. */
    private static final List<String> PROCESS_FAULTS = List.of("signal-nodes");

    /** Faults that links inject where nodes are real processes, so that the emulated world must not inject them as well. */
    public static final List<String> INJECTED_BY_LINKS = Stream.concat(
                    LINK_FAULTS.stream(), Stream.of("partition", "silence-members"))
            .toList();

    /** All kinds, first those of the emulated world. */
    static final List<String> ALL = Stream.of(EMULATED, PROCESS_FAULTS, LINK_FAULTS)
            .flatMap(List::stream)
            .toList();

    private FaultKinds() {}
}
