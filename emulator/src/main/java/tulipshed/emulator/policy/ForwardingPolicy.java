package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/** A policy that forwards all events to another one, except for those that a subclass overrides. */
abstract class ForwardingPolicy implements Policy {
    /** The policy that events are forwarded to. */
    abstract Policy delegate();

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        delegate().endpointsChanged(delivery);
    }

    @Override
    public void requestArrived(ClientRequest request) {
        delegate().requestArrived(request);
    }

    @Override
    public void connectionAdopted(ClientRequest request, EmulatedAttempt attempt) {
        delegate().connectionAdopted(request, attempt);
    }

    @Override
    public boolean attemptEstablished(EmulatedAttempt attempt) {
        return delegate().attemptEstablished(attempt);
    }

    @Override
    public void attemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        delegate().attemptEnded(attempt, outcome);
    }

    @Override
    public void requestCancelled(ClientRequest request) {
        delegate().requestCancelled(request);
    }

    @Override
    public void latencyReported(EmulatedAttempt attempt, double delayMs) {
        delegate().latencyReported(attempt, delayMs);
    }

    @Override
    public void loadReported(EmulatedAttempt attempt) {
        delegate().loadReported(attempt);
    }

    @Override
    public void reconfigure() {
        delegate().reconfigure();
    }

    @Override
    public void quotaShareChanged(double share) {
        delegate().quotaShareChanged(share);
    }

    @Override
    public void shutDown(List<ClientRequest> pending) {
        delegate().shutDown(pending);
    }

    @Override
    public void runReadyTasks() {
        delegate().runReadyTasks();
    }
}
