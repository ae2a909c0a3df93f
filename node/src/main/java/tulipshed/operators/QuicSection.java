package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The QUIC frontend's section of the operators' file, {@code (quic ...)}.
 *
 * @param listen the address on which it listens
 * @param preferred a second address, which servers may announce as their preferred address; or null
 * @param requestClass the class of a connection's request, unless rules assign another
 * @param tenant its tenant, or null where the settings have no tenants
 * @param deadlineMs how long a client waits, in milliseconds
 * @param ids the configurations of connection IDs
 * @param resetKey the key of stateless resets, shared with the servers
 * @param retry null where address validation is never required
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
