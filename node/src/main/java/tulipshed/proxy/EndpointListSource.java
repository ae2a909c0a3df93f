package tulipshed.proxy;

/** Where the list of pool members comes from. */
public interface EndpointListSource {
    /** Asks for changes from now on; answered by {@link ProxyCore#endpointsChanged}. */
    void watch();
}
