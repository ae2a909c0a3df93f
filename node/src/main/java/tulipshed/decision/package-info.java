/**
 * The load-balancing decisions for long-lived connections: admission, placement, retries, slow start, outlier ejection,
 * migration and discovery polling. The package does no input or output and reads no clock: {@link
 * tulipshed.decision.api.BalancerApi} declares its events, {@link tulipshed.decision.api.BalancerActions} its actions,
 * and {@link tulipshed.decision.Balancer} dispatches the events to the components. The same settings, seed and events
 * give the same actions. All state of one balancer is confined to the thread of its event loop.
 */
package tulipshed.decision;
