package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The QUIC frontend's section of the operators' file, {@code (quic ...)}.
 *
 * @param listen the address on which the frontend listens
 * @param preferred a second address, which servers may announce as their preferred address; null if there is none
 * @param requestClass the class of a connection's request, unless a rule assigns another
 * @param tenant the tenant of a connection's request; null if the settings have no tenants
 * @param deadlineMs the deadline of a connection's request, in milliseconds
 * @param ids the configurations of connection IDs
 * @param resetKey the key of stateless reset tokens, shared with the servers
 * @param retry the Retry settings; null if address validation is never required
 */
public record QuicSection(
        InetSocketAddress listen,
        InetSocketAddress preferred,
        String requestClass,
        String tenant,
        double deadlineMs,
        List<ConnectionIdSection> ids,
        byte[] resetKey,
        RetrySection retry) {}
