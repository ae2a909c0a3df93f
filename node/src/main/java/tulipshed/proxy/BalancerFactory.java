package tulipshed.proxy;

import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.Settings;

/** Creates the decision module of a core. */
@FunctionalInterface
public interface BalancerFactory {
    /**
     * Creates a decision module.
     *
     * @param seed its random seed
     * @param nowUs the time now, in microseconds on the clock of the core
     * @param actions takes its decisions, also from within this call
     */
    BalancerApi create(Settings settings, long seed, long nowUs, BalancerApi.Actions actions);
}
