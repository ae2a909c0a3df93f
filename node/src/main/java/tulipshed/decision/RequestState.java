package tulipshed.decision;

import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.RequestClass;

/** One request from its arrival until its final answer is given and its attempt has ended. Confined to the event loop. */
final class RequestState {
    final NewRequest arrival;
    /** The class at arrival; a reconfiguration does not change it. */
    final RequestClass requestClass;

    final long deadlineUs;
    /** Seed of this request's random numbers: the same number for an endpoint however often it is evaluated. */
    final long randomHash;

    /** Load of the connection, in microseconds of work a second, estimated until it is reported. */
    double load;

    /** Attempts started so far. */
    int attempts;

    EndpointPool pool;
    /** The endpoint of the current attempt or established connection; null between attempts. */
    EndpointState endpoint;
    /** The endpoint of the previous attempt, which the next one avoids; null before the first attempt has ended. */
    EndpointState previousEndpoint;
    /** The group in which the established connection is counted; null if none. */
    ConnectionGroup group;
    /** When the current attempt started. */
    long sentAtUs;
    /** Whether the current attempt is established. */
    boolean established;
    /** Whether the final answer was given or the client has left. */
    boolean concluded;

    /** Whether an attempt may have taken effect. */
    boolean mayHaveRun;
    /** The endpoint of the first attempt that may have taken effect; null if none. */
    EndpointInfo ranOn;

    long ranAtUs;

    /** The two endpoints that are compared by health checks; null while none are. */
    EndpointState firstCandidate;

    EndpointState secondCandidate;
    /** Health checks of the candidates that have not completed. */
    int pendingHealthChecks;
    /** Whether health checks were used for the current attempt. */
    boolean healthChecked;

    RequestState(
            NewRequest arrival,
            RequestClass requestClass,
            EndpointPool pool,
            long now,
            long hashSeed,
            double averageLoad) {
        this.arrival = arrival;
        this.randomHash = Hashing.mix(arrival.id() ^ hashSeed);
        this.pool = pool;
        this.requestClass = requestClass;
        this.deadlineUs = now + arrival.timeoutUs();
        this.load = arrival.loadHintUsPerS() > 0 ? arrival.loadHintUsPerS() : averageLoad;
    }
}
