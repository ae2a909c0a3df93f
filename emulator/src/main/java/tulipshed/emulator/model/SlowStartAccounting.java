package tulipshed.emulator.model;

import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.invariants.SlowStartInvariant;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.scenario.EndpointModel;
import tulipshed.emulator.scenario.Scenario;

/** The work that an endpoint receives during slow start, held against what makes its process fail. */
final class SlowStartAccounting {
    private final Scenario scenario;
    private final EndpointCapacity capacity;
    private final SlowStartInvariant invariant;

    /**
     * Creates the accounting of one endpoint.
     *
     * @param usualLoad mean load of a connection, in cores of speed 1
     */
    SlowStartAccounting(int endpoint, Scenario scenario, EndpointCapacity capacity, double usualLoad) {
        this.scenario = scenario;
        this.capacity = capacity;
        EndpointModel model = scenario.endpointModel();
        invariant = new SlowStartInvariant(endpoint, model.overloadFactor(), model.overloadWindowMs(), usualLoad);
    }

    /** Work received over what makes the process fail; 0 after slow start. */
    double strain(double nowMs) {
        return capacity.isInSlowStart(nowMs) ? invariant.strain() : 0;
    }

    /** A new process starts. */
    void restart() {
        invariant.processRestarted();
    }

    /** Accounts for an attempt during slow start; returns whether the process fails by it. */
    boolean receive(double nowMs, EmulatedAttempt attempt, Counters counters) {
        if (!capacity.isInSlowStart(nowMs)) {
            return false;
        }
        EndpointModel model = scenario.endpointModel();
        double growth = capacity.total(nowMs) * model.connectionRateFills() / model.slowStartMs();
        // The usual load of the class: what one connection will need later nobody knows when it is sent.
        double work = scenario.requestClasses().get(attempt.requestClass).load();
        invariant.workArrived(nowMs, work, growth, attempt.notifiedStartMs >= capacity.startedMs() - 1);
        counters.strained(invariant.strain(), invariant.notifiedStrain());
        return invariant.isExceeded();
    }

    /** Reports that the process has failed. */
    void reportFailure(double nowMs, InvariantReport report) {
        invariant.endpointFailed(nowMs, report, ageMs(nowMs));
    }

    /** How long the process runs. */
    double ageMs(double nowMs) {
        return nowMs - capacity.startedMs();
    }
}
