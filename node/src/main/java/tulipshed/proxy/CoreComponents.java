package tulipshed.proxy;

import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/** The components of one {@link ProxyCore}, connected with each other and with the decision module. */
final class CoreComponents {
    final ActiveSettings settings;
    final EventBatch events;
    final NodeMetrics metrics = new NodeMetrics();
    final EndpointRegistry endpoints = new EndpointRegistry();
    final EstablishedConnections established = new EstablishedConnections();
    final ReplaceableEndpointListSource endpointListSource = new ReplaceableEndpointListSource();
    final RequestRouting routing;
    final RouteMonitor routeMonitor;
    final AttemptManager attempts;
    final RequestLifecycle requests;
    final ConnectionAdopter adopter;
    final ConnectionMigrator migrator;
    final EndpointDrainer drainer;
    final HealthCheckDispatcher healthChecks;
    final PeerMessages peerMessages;
    final ReplicatedConnections replicatedConnections;
    final BalancerApi balancer;

    /** Creates the components; the parameters are those of the constructor of {@link ProxyCore}. */
    CoreComponents(
            Clock clock,
            Limits limits,
            BalancerSettings initialSettings,
            long seed,
            EventLoop loop,
            NodeLog log,
            BalancerFactory factory) {
        settings = new ActiveSettings(initialSettings);
        events = new EventBatch(clock, loop, log);
        routing = new RequestRouting(initialSettings, log);
        CoreContext context = new CoreContext(clock, limits, settings, events, log);
        RequestTable table = new RequestTable();
        FinalResponses responses = new FinalResponses(settings, metrics);
        routeMonitor = new RouteMonitor(context, routing, endpoints, table);
        attempts = new AttemptManager(context, table, responses, endpoints, established);
        requests = new RequestLifecycle(context, table, responses, routing, attempts);
        adopter = new ConnectionAdopter(context, table, responses, routing, endpoints, attempts);
        migrator = new ConnectionMigrator(context, table, established, attempts);
        drainer = new EndpointDrainer(context, table, attempts, migrator);
        healthChecks = new HealthCheckDispatcher(context, endpoints);
        peerMessages = new PeerMessages(context);
        replicatedConnections = new ReplicatedConnections(events, endpoints, table);
        DecisionBuffer decisions = new DecisionBuffer(decisionTargets(), events, clock, log);
        balancer = factory.create(initialSettings, seed, Clock.toMicros(clock.nowMs()), decisions);
        metrics.declareClasses(initialSettings.classes());
        events.start(balancer);
    }

    private DecisionBuffer.Targets decisionTargets() {
        return new DecisionBuffer.Targets(requests, attempts, migrator, healthChecks, peerMessages, endpointListSource);
    }
}
