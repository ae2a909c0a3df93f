package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/** The load-balancing decisions of an emulated node, made from the events that a real node would see. */
public interface Policy {
    /** Discovery delivered an endpoint list or changes to it. */
    void endpointsChanged(EndpointListDelivery delivery);

    /** A client's request arrived; exactly one final answer is owed. */
    void requestArrived(ClientRequest request);

    /** A connection that was established before the run began. */
    void connectionAdopted(ClientRequest request, EmulatedAttempt attempt);

    /** An endpoint accepted the attempt; returns false where the client must no longer be connected to it. */
    boolean attemptEstablished(EmulatedAttempt attempt);

    /** An attempt or an established connection ended, other than by {@link PolicyHost#cancel}. */
    void attemptEnded(EmulatedAttempt attempt, Outcome outcome);

    /** The client disconnected before it was answered. */
    void requestCancelled(ClientRequest request);

    /** Messages of an established connection take that long at its endpoint now. */
    void latencyReported(EmulatedAttempt attempt, double delayMs);

    /** The load of an established connection changed; it is in the request's {@link ClientDemand}. */
    void loadReported(EmulatedAttempt attempt);

    /** The configuration was read again: discovery moved and must be watched anew. */
    default void reconfigure() {}

    /** From now on the process may use that share of the node's quotas, as another process serves as well. */
    default void quotaShareChanged(double share) {}

    /** The process ends gracefully: each of these requests whose answer is still owed gets it now. */
    void shutDown(List<ClientRequest> pending);

    /** Runs the tasks that became ready with the last event; called after each event. */
    default void runReadyTasks() {}
}
