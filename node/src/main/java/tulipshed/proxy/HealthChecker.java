package tulipshed.proxy;

/**
 * Asks pool members how busy they are. Every probe asked for is answered once by {@link ProxyCore#healthCheckCompleted}, also
 * where it cannot be sent; probes of one member that overlap may share an answer.
 */
public interface HealthChecker {
    /** Asks one member, which serves and has an address. */
    void check(Endpoint endpoint);
}
