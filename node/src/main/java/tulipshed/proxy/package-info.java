/**
 * The protocol-independent core of the proxy, between the protocol frontends, the endpoints and the decision module
 * ({@link tulipshed.decision.BalancerApi}).
 *
 * <p>{@link tulipshed.proxy.ProxyCore} is the entry point. Frontends, connectors and discovery report events to it;
 * {@link tulipshed.proxy.EventBatch} collects these and delivers them to the decision module in one batch, and the
 * decisions are carried out afterwards in the order in which they were made. The other components:
 *
 * <ul>
 *   <li>{@link tulipshed.proxy.RequestLifecycle}: arrival, deadline and single final response of each request, using
 *       {@link tulipshed.proxy.RequestTable} and {@link tulipshed.proxy.FinalResponses};
 *   <li>{@link tulipshed.proxy.AttemptManager}: attempts at endpoints and their timers;
 *   <li>{@link tulipshed.proxy.EstablishedConnections}, {@link tulipshed.proxy.ConnectionMigrator} and
 *       {@link tulipshed.proxy.EndpointDrainer}: established connections, and their migration and draining;
 *   <li>{@link tulipshed.proxy.ConnectionAdopter} and {@link tulipshed.proxy.ReplicatedConnections}: connections
 *       established before a restart of this node, or held by the other process of a hot restart;
 *   <li>{@link tulipshed.proxy.EndpointRegistry} and {@link tulipshed.proxy.HealthCheckDispatcher}: endpoints and their
 *       health checks;
 *   <li>{@link tulipshed.proxy.ActiveSettings}, {@link tulipshed.proxy.RequestRouting} and
 *       {@link tulipshed.proxy.RouteMonitor}: settings and the operators' routing rules.
 * </ul>
 *
 * <p>All state is confined to the event-loop thread ({@link tulipshed.proxy.EventLoop}): there are no locks, and no
 * method may be called from another thread. Methods with an endpoint id as parameter also accept ids of unlisted endpoints.
 */
package tulipshed.proxy;
