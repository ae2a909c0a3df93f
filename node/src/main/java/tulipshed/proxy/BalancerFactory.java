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
     * @param nowUs the present time in microseconds, on the clock of the core
     * @param actions receives its decisions, which may be made even during this call
     */
    BalancerApi create(BalancerSettings settings, long seed, long nowUs, BalancerActions actions);
}
