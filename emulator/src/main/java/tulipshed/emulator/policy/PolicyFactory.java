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
    public static Function<Host, Policy> of(String name, Map<String, Integer> numbers) {
        return switch (name) {
            case "module" -> h -> new ModulePolicy(h, numbers);
            case "core" -> h -> new CorePolicy(h, numbers);
            case "random" -> Baselines.AnyMember::new;
            case "least-of-two" -> Baselines.LeastOfTwo::new;
            case "round-robin" -> Baselines.RoundRobin::new;
            case "bounded-hashing" -> Baselines.BoundedHashing::new;
            case "peak-ewma" -> Baselines.PeakEwma::new;
            case "clairvoyant" -> Baselines.Clairvoyant::new;
            case "sees-late-200", "sees-late-1000", "sees-late-5000" ->
                h -> new SeesLate(h, Double.parseDouble(name.substring(SEES_LATE.length())));
            case "core-late-answer" -> h -> new Faulty(h, numbers, Faulty.Fault.LATE_ANSWER);
            case "core-second-answer" -> h -> new Faulty(h, numbers, Faulty.Fault.SECOND_ANSWER);
            case "core-drained-member" -> h -> new Faulty(h, numbers, Faulty.Fault.DRAINED_MEMBER);
            case "core-cold-member" -> h -> new Faulty(h, numbers, Faulty.Fault.COLD_MEMBER);
            case "core-silence" -> h -> new Faulty(h, numbers, Faulty.Fault.SILENCE);
            case "core-whole-grace" -> h -> new Faulty(h, numbers, Faulty.Fault.WHOLE_GRACE);
            case "core-no-last-answers" -> h -> new Faulty(h, numbers, Faulty.Fault.NO_LAST_ANSWERS);
            case "core-trusts-clocks" -> h -> new Faulty(h, numbers, Faulty.Fault.TRUSTS_CLOCKS);
            default -> throw new IllegalArgumentException("no policy is called " + name);
        };
    }
}
