package tulipshed.simadapter;

import java.util.HashMap;
import java.util.Map;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.config.SettingsReader;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;

/**
 * The running instances of the decision module, and the dispatch of events to them. Confined to the adapter's thread.
 */
final class Instances {
    private final Adapter.Factory factory;
    private final BalancerActions actions;
    private final Map<String, Instance> byName = new HashMap<>();

    /** A running instance and the index of the names in its settings. */
    private record Instance(BalancerApi balancer, NameIndex names) {}

    Instances(Adapter.Factory factory, BalancerActions actions) {
        this.factory = factory;
        this.actions = actions;
    }

    /**
     * Dispatches an event to its instance.
     *
     * @param nowUs the time of the event's batch, in microseconds
     * @throws MalformedInputException if the event is unknown, lacks a field, or its instance does not exist
     */
    void dispatch(WireEvent event, long nowUs) {
        if (event.type() == EventType.INSTANCE_CREATED) {
            create(event, nowUs);
            return;
        }
        Instance instance = byName.get(event.instance());
        if (instance == null) {
            throw new MalformedInputException(event.typeName() + " for unknown instance " + event.instance());
        }
        if (event.type() == null) {
            throw unknownType(event);
        }
        if (event.type() == EventType.INSTANCE_REMOVED) {
            byName.remove(event.instance());
            return;
        }
        deliver(event, nowUs, instance.balancer(), instance.names());
    }

    private void create(WireEvent event, long nowUs) {
        BalancerSettings settings = SettingsReader.read(event.settings());
        BalancerApi balancer = factory.create(settings, event.seed(), nowUs, actions);
        byName.put(event.instance(), new Instance(balancer, NameIndex.of(settings)));
    }

    private static void deliver(WireEvent event, long nowUs, BalancerApi balancer, NameIndex names) {
        switch (event.type()) {
            case ENDPOINTS_CHANGED ->
                balancer.endpointsChanged(
                        nowUs, event.endpointList().kind(), event.endpointList().endpoints());
            case REQUEST_ARRIVED -> balancer.requestArrived(nowUs, newRequest(event, names));
            case CONNECTION_ADOPTED -> balancer.connectionAdopted(nowUs, newRequest(event, names), event.endpoint());
            case ATTEMPT_ESTABLISHED ->
                balancer.attemptEstablished(
                        nowUs,
                        event.requestId(),
                        event.attempt().number(),
                        event.attempt().durationUs());
            case CONNECTION_REPORTED -> deliverReport(event, nowUs, balancer);
            case ATTEMPT_ENDED -> deliverAttemptEnd(event, nowUs, balancer);
            case REQUEST_CANCELLED -> balancer.requestCancelled(nowUs, event.requestId());
            case HEALTH_CHECK_COMPLETED ->
                balancer.healthCheckCompleted(
                        nowUs,
                        event.endpoint(),
                        event.attempt().outcome(),
                        event.attempt().loadReport());
            case TIMER_FIRED -> balancer.timerFired(nowUs, event.timerToken());
            case PEER_MESSAGE_RECEIVED -> balancer.peerMessageReceived(nowUs, event.sendingPeer(), event.body());
            default -> throw unknownType(event);
        }
    }

    private static NewRequest newRequest(WireEvent event, NameIndex names) {
        return event.request().newRequest(event.typeName(), names);
    }

    /** Delivers a load or latency report; reports of other kinds are ignored. */
    private static void deliverReport(WireEvent event, long nowUs, BalancerApi balancer) {
        ConnectionReportFields report = event.connectionReport();
        if (report.isLoad()) {
            balancer.loadReported(nowUs, event.requestId(), report.value());
        } else if (report.isLatency()) {
            balancer.latencyReported(nowUs, event.requestId(), report.value());
        }
    }

    private static void deliverAttemptEnd(WireEvent event, long nowUs, BalancerApi balancer) {
        AttemptFields attempt = event.attempt();
        Outcome outcome = attempt.outcome();
        balancer.attemptEnded(
                nowUs, event.requestId(), attempt.number(), attempt.concluded(), outcome, attempt.loadReport());
    }

    private static MalformedInputException unknownType(WireEvent event) {
        return new MalformedInputException("unknown cmd: " + event.typeName());
    }
}
