package tulipshed.emulator.model;

import tulipshed.emulator.invariants.InvariantReport;
import tulipshed.emulator.invariants.SlowStartInvariant;
import tulipshed.emulator.policy.EmulatedAttempt;
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
        Scenario.MemberModel model = scenario.members();
        invariant = new SlowStartInvariant(endpoint, model.fallFactor(), model.fallMs(), usualLoad);
    }

    /** Work received over what makes the process fail; 0 after slow start. */
    double strain(double nowMs) {
        return capacity.isInSlowStart(nowMs) ? invariant.strain() : 0;
    }

    /** A new process starts. */
    void restart() {
        invariant.restart();
    }

    /** Accounts for an attempt during slow start; returns whether the process fails by it. */
    boolean receive(double nowMs, EmulatedAttempt attempt, Counters counters) {
        if (!capacity.isInSlowStart(nowMs)) {
            return false;
        }
        Scenario.MemberModel model = scenario.members();
        double growth = capacity.total(nowMs) * model.fills() / model.warmMs();
        // The usual load of the class: what one connection will need later nobody knows when it is sent.
        double work = scenario.classes().get(attempt.requestClass).load();
        invariant.pushed(nowMs, work, growth, attempt.notifiedStartMs >= capacity.startedMs() - 1);
        counters.strained(invariant.strain(), invariant.toldStrain());
        return invariant.falls();
    }

    /** Reports that the process has failed. */
    void reportFailure(double nowMs, InvariantReport report) {
        invariant.fell(nowMs, report, ageMs(nowMs));
    }

    /** How long the process runs. */
    double ageMs(double nowMs) {
        return nowMs - capacity.startedMs();
    }
}
