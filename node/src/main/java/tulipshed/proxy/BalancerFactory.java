package tulipshed.proxy;

import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;

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
    BalancerApi create(BalancerSettings settings, long seed, long nowUs, BalancerActions actions);
}
