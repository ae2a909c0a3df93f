package tulipshed.proxy;

/** A source of the endpoint list, such as the client of the discovery service. */
public interface EndpointListSource {
    /** Starts watching the list; updates are reported to {@link ProxyCore#endpointsChanged}. */
    void watch();
}
