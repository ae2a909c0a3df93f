package tulipshed.emulator.policy;

import java.util.Map;
import java.util.function.Function;

/** Makes policies by the names that scenarios use. */
public final class PolicyFactory {
    private static final String SEES_LATE = "sees-late-";

    private PolicyFactory() {}

    /** Whether a policy looks into parts of the world that others own, and so must run on one thread. */
    public static boolean alone(String name) {
        return name.equals("clairvoyant") || looksBack(name);
    }

    /** Whether a policy asks how members were some time ago. */
    public static boolean looksBack(String name) {
        return name.startsWith(SEES_LATE);
    }

    /**
     * What makes policies of a name.
     *
     * @param numbers members by name
     */
    public static Function<PolicyHost, Policy> of(String name, Map<String, Integer> numbers) {
        return switch (name) {
            case "module" -> host -> new ModulePolicy(host, numbers);
            case "core" -> host -> new CorePolicy(host, numbers);
            case "random" -> BaselinePolicies.AnyMember::new;
            case "least-of-two" -> BaselinePolicies.LeastOfTwo::new;
            case "round-robin" -> BaselinePolicies.RoundRobin::new;
            case "bounded-hashing" -> BaselinePolicies.BoundedHashing::new;
            case "peak-ewma" -> BaselinePolicies.PeakEwma::new;
            case "clairvoyant" -> BaselinePolicies.Clairvoyant::new;
            case "sees-late-200", "sees-late-1000", "sees-late-5000" ->
                host -> new DelayedOraclePolicy(host, Double.parseDouble(name.substring(SEES_LATE.length())));
            case "core-late-answer" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.LATE_ANSWER);
            case "core-second-answer" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.SECOND_ANSWER);
            case "core-drained-member" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.DRAINED_MEMBER);
            case "core-cold-member" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.COLD_MEMBER);
            case "core-silence" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.SILENCE);
            case "core-whole-grace" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.WHOLE_GRACE);
            case "core-no-last-answers" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.NO_LAST_ANSWERS);
            case "core-trusts-clocks" -> host -> new FaultyPolicy(host, numbers, FaultyPolicy.Fault.TRUSTS_CLOCKS);
            default -> throw new IllegalArgumentException("no policy is called " + name);
        };
    }
}
