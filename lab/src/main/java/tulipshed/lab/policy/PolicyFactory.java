package tulipshed.lab.policy;

import java.util.Map;
import java.util.function.Function;

/** Makes policies by the names that scenarios use. */
public final class PolicyFactory {
    private PolicyFactory() { }

    /** Whether a policy looks into parts of the world that others own, and so must run on one thread. */
    public static boolean alone(String name) {
        return name.equals("clairvoyant");
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
            default -> throw new IllegalArgumentException("no policy is called " + name);
        };
    }
}
