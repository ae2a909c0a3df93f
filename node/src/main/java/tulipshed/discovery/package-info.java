/**
 * The client of the discovery service: watches the list of endpoints by long polling and passes each change to the
 * proxy core.
 *
 * <p>{@link tulipshed.discovery.EndpointWatch} decides when to call and what a failure means, {@code DiscoveryClient}
 * makes one HTTP call at a time, and {@code EndpointListCursor} tracks the version of the list.
 */
package tulipshed.discovery;
