/**
 * The load-balancing decisions for long-lived connections: admission, placement, retries, slow start, outlier ejection,
 * migration and discovery polling. The package does no input or output and reads no clock: {@link
 * tulipshed.decision.BalancerApi} has the events it takes and the actions it returns, {@link
 * tulipshed.decision.Balancer} hands the events to the parts. The same settings, seed and events give the same actions.
 * Everything that belongs to one balancer is confined to the thread of its event loop.
 */
package tulipshed.decision;
