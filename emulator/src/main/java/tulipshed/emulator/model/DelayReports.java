package tulipshed.emulator.model;

import java.util.HashSet;
import java.util.Set;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;

/** Decides which connections of an endpoint are told how long messages take: one of each node while messages are slow. */
final class DelayReports {
    private static final double DEFAULT_AIM_MS = 60;

    private final boolean isEnabled;
    private final double slowFromMs;
    private final Set<Integer> reportedNodes = new HashSet<>();
    private boolean wasSlow;

    DelayReports(Scenario scenario) {
        isEnabled = scenario.endpointModel().reportsLatency();
        slowFromMs = scenario.requestClasses().stream()
                        .mapToDouble(RequestClassSettings::messageObjectiveMs)
                        .min()
                        .orElse(DEFAULT_AIM_MS)
                / 3;
    }

    /** Begins a round of reports; returns whether there are any. A delay that is no longer slow is reported once more. */
    boolean begin(double delayMs) {
        if (!isEnabled || !(delayMs > slowFromMs || wasSlow)) {
            return false;
        }
        wasSlow = delayMs > slowFromMs;
        reportedNodes.clear();
        return true;
    }

    /** Whether a connection is the first one of its node in this round. */
    boolean isFirstOfNode(EmulatedAttempt connection) {
        return reportedNodes.add(((NodeActor) connection.source).number);
    }
}
