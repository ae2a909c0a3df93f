package tulipshed.decision;

import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.RequestClass;

/**
 * State of a request, from its arrival until its final response is given and its attempt has ended. Confined to the
 * event-loop thread.
 */
final class RequestState {
    final NewRequest arrival;
    /** The class at arrival; a reconfiguration does not change it. */
    final RequestClass requestClass;

    final long deadlineUs;
    /** Seed of the request's random numbers, so that each evaluation of an endpoint uses the same number. */
    final long randomHash;

    /** Load of the connection, in microseconds of work per second; an estimate until it is reported. */
    double load;

    /** Attempts started so far. */
    int attempts;

    EndpointPool pool;
    /** The endpoint of the current attempt or established connection; null between attempts. */
    EndpointState endpoint;
    /** The endpoint of the previous attempt, which the next attempt avoids; null before the first attempt ends. */
    EndpointState previousEndpoint;
    /** The group that the established connection counts in; null if none. */
    ConnectionGroup group;
    /** Start time of the current attempt. */
    long attemptStartedUs;
    /** Whether the current attempt is established. */
    boolean established;
    /** Whether the final response was given or the client has disconnected. */
    boolean concluded;

    /** Whether an attempt may have executed. */
    boolean mayHaveExecuted;
    /** The endpoint of the first attempt that may have executed; null if none. */
    EndpointInfo executedOn;

    /** Start time of the first attempt that may have executed. */
    long executedAttemptStartedUs;

    /** The two endpoints being compared by health checks; null without a comparison. */
    EndpointState firstCandidate;

    EndpointState secondCandidate;
    /** Health checks of the candidates that have not completed. */
    int pendingHealthChecks;
    /** Whether candidates for the next attempt were compared by health checks. */
    boolean healthChecked;

    RequestState(
            NewRequest arrival,
            RequestClass requestClass,
            EndpointPool pool,
            long nowUs,
            long hashSeed,
            double averageLoad) {
        this.arrival = arrival;
        this.randomHash = Hashing.mix(arrival.id() ^ hashSeed);
        this.pool = pool;
        this.requestClass = requestClass;
        this.deadlineUs = nowUs + arrival.timeoutUs();
        this.load = arrival.loadHintUsPerS() > 0 ? arrival.loadHintUsPerS() : averageLoad;
    }

    /** Whether an attempt was started but not established or ended, and no final response is given. */
    boolean isAttemptPending() {
        return endpoint != null && !established && !concluded;
    }

    /** Records the start of the next attempt at this endpoint. */
    void startAttempt(long nowUs, EndpointState chosen) {
        attempts++;
        endpoint = chosen;
        healthChecked = false;
        established = false;
        attemptStartedUs = nowUs;
        chosen.slowStartCredit -= 1;
        chosen.adjustLoad(1, 1, load);
    }

    /** Adopts a connection that was established before this balancer started. */
    void adopt(EndpointState holder) {
        attempts = 1;
        endpoint = holder;
        established = true;
        holder.hasEstablished = true;
        holder.adjustLoad(1, 0, load);
    }

    /** Marks the current attempt as established. */
    void establish() {
        established = true;
        endpoint.hasEstablished = true;
        endpoint.adjustLoad(0, -1, 0);
    }

    /** Counts the established connection in a group, unless the group is null. */
    void joinGroup(long nowUs, ConnectionGroup joined) {
        if (joined != null) {
            joined.holders.add(endpoint);
            group = joined;
            joined.arrivals.add(nowUs);
            pool.groupArrivals.add(nowUs);
        }
    }

    /** Replaces the load of the connection by the reported load. */
    void setLoad(double reportedUsPerS) {
        endpoint.adjustLoad(0, 0, reportedUsPerS - load);
        load = reportedUsPerS;
    }

    /** Releases the endpoint of the attempt that ended, and returns it. */
    EndpointState endAttempt(Outcome outcome) {
        EndpointState released = endpoint;
        endpoint = null;
        previousEndpoint = released;
        released.adjustLoad(-1, established ? 0 : -1, -load);
        if (group != null) {
            group.holders.remove(released);
            group = null;
        }
        if (!outcome.neverExecuted && !mayHaveExecuted) {
            mayHaveExecuted = true;
            executedOn = released.info;
            executedAttemptStartedUs = attemptStartedUs;
        }
        return released;
    }

    /** Records the two candidates to compare and the number of health checks started for them. */
    void awaitHealthChecks(EndpointState first, EndpointState second, int started) {
        healthChecked = true;
        firstCandidate = first;
        secondCandidate = second;
        pendingHealthChecks = started;
    }

    /** Ends the comparison of the candidates. */
    void clearCandidates() {
        firstCandidate = null;
        secondCandidate = null;
        pendingHealthChecks = 0;
    }

    /** Counts a completed health check; returns whether it was the last one that this request awaited. */
    boolean completeHealthCheck(EndpointState checked) {
        boolean awaited = firstCandidate == checked || secondCandidate == checked;
        return awaited && --pendingHealthChecks == 0;
    }
}
