package tulipshed.proxy;

/** Where the endpoint list comes from, such as the client of the discovery service. */
public interface EndpointListSource {
    /** Starts to watch the list; its updates arrive at {@link ProxyCore#endpointsChanged}. */
    void watch();
}
