/**
 * The client of the discovery service: watches the list of endpoints by long polling and passes each change to the
 * proxy core.
 *
 * <p>{@link tulipshed.discovery.EndpointWatch} decides when to call and what a failure means, {@code DiscoveryClient}
 * makes one HTTP call at a time, {@code EndpointListCursor} tracks the version of the list, and {@link
 * tulipshed.discovery.EndpointStartTimes} translates the start times in a list into the node's monotonic time.
 */
package tulipshed.discovery;
