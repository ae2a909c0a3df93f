package tulipshed.emulator.faultinjection;

import java.util.List;
import tulipshed.emulator.model.RunResult;

/**
 * The result of one fault-injection run. Runs in real time differ, so it is judged by invariants and bounds, never by the
 * value of one moment; a run in which the tool itself was too slow is void. {@link FaultInjectionEvaluation} makes it.
 *
 * @param breaches the invariants and bounds that did not hold, a line each
 * @param voids why the run shows nothing; empty where it is valid
 * @param served by second, the share of client demand that was served; NaN where there was none
 * @param schedule the faults, a line each
 * @param outcome what the emulated world counted
 * @param relaysLateMs the longest time that a delivery waited for the proxy, in milliseconds
 * @param toolLateMs the longest turn of the tool's own event loop, in milliseconds
 * @param breachMs when an invariant was first broken, in milliseconds of the scenario; negative if none was
 */
public record FaultInjectionResult(
        List<String> breaches,
        List<String> voids,
        List<Double> served,
        List<String> schedule,
        RunResult outcome,
        double relaysLateMs,
        double toolLateMs,
        double breachMs) {

    /**
     * The bounds that a run is held to beside the invariants.
     *
     * @param attempts the most attempts for each request, over all nodes
     * @param wholeMs the longest recovery time, from the end of the last fault on, in milliseconds
     * @param whole the share of what was served before the first fault that is served after recovery, from 0 to 1
     */
    public record Bounds(double attempts, double wholeMs, double whole) {}

    /** Whether all held, in a valid run. */
    public boolean passed() {
        return breaches.isEmpty() && voids.isEmpty();
    }

    /** Whether something did not hold. A breach counts in a void run too. */
    public boolean failed() {
        return !breaches.isEmpty();
    }
}
