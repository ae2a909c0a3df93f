package tulipshed.emulator.policy;

import java.util.Map;
import java.util.function.Function;

/** Makes policies by the names that scenarios use. */
public final class PolicyFactory {
    private static final String DELAYED_ORACLE_PREFIX = "sees-late-";

    private PolicyFactory() {}

    /** Whether a policy looks into parts of the world that others own, and so must run on one thread. */
    public static boolean needsSingleThread(String name) {
        return name.equals("clairvoyant") || readsHistory(name);
    }

    /** Whether a policy asks how members were some time ago. */
    public static boolean readsHistory(String name) {
        return name.startsWith(DELAYED_ORACLE_PREFIX);
    }

    /**
     * What makes policies of a name.
     *
     * @param endpointIndexes endpoint indexes by id, the same for all nodes
     */
    public static Function<PolicyHost, Policy> of(String name, Map<String, Integer> endpointIndexes) {
        return switch (name) {
            case "module" -> host -> new ModulePolicy(host, endpointIndexes);
            case "core" -> host -> new CorePolicy(host, endpointIndexes);
            case "random" -> RandomPolicy::new;
            case "least-of-two" -> PowerOfTwoChoicesPolicy::new;
            case "round-robin" -> RoundRobinPolicy::new;
            case "bounded-hashing" -> BoundedLoadHashingPolicy::new;
            case "peak-ewma" -> PeakEwmaPolicy::new;
            case "clairvoyant" -> ClairvoyantPolicy::new;
            case "sees-late-200", "sees-late-1000", "sees-late-5000" ->
                host -> new DelayedOraclePolicy(
                        host, Double.parseDouble(name.substring(DELAYED_ORACLE_PREFIX.length())));
            case "core-late-answer" -> host -> CoreFaults.lateRejection(host, endpointIndexes);
            case "core-second-answer" -> host -> CoreFaults.secondRejection(host, endpointIndexes);
            case "core-drained-member" -> host -> CoreFaults.drainedEndpoint(host, endpointIndexes);
            case "core-cold-member" -> host -> CoreFaults.endpointInSlowStart(host, endpointIndexes);
            case "core-silence" -> host -> CoreFaults.noRejection(host, endpointIndexes);
            case "core-whole-grace" -> host -> CoreFaults.drainGraceByOwnClock(host, endpointIndexes);
            case "core-no-last-answers" -> host -> CoreFaults.noAnswersAtShutdown(host, endpointIndexes);
            case "core-trusts-clocks" -> host -> CoreFaults.trustsClocks(host, endpointIndexes);
            default -> throw new IllegalArgumentException("no policy is called " + name);
        };
    }
}
