package tulipshed.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Set;

/**
 * Tells why a TCP connection could not be opened: because this machine lacked something, or because of the remote end.
 *
 * <p>The platform gives no error number, but one exception type for some of them and the system's text for the others:
 *
 * <pre>
 *  errors                                                    type                    cause
 *  EADDRNOTAVAIL, EADDRINUSE, EACCES                         BindException           local
 *  EMFILE, ENFILE, ENOBUFS, ENOMEM, ENETUNREACH, ENETDOWN,
 *  EPERM, EAGAIN                                             SocketException         local, by the text
 *  ECONNREFUSED, ETIMEDOUT                                   ConnectException        remote
 *  EHOSTUNREACH                                              NoRouteToHostException  remote
 *  ECONNRESET and all others                                 SocketException         remote
 * </pre>
 *
 * <p>EHOSTUNREACH is remote, as it is what the neighbours say of a host that is down.
 */
public final class ConnectFailures {
    /** The system's texts for errors of this machine. */
    private static final Set<String> LOCAL_REASONS = Set.of(
            "Too many open files",
            "Too many open files in system",
            "No buffer space available",
            "Cannot allocate memory",
            "Cannot assign requested address",
            "Network is unreachable",
            "Network is down",
            "Operation not permitted",
            "Resource temporarily unavailable");

    private ConnectFailures() {}

    /**
     * Whether opening a connection failed on this machine, before a byte was sent: the remote end had no part in it, and the
     * next attempt may succeed.
     *
     * @param failure what opening the socket or connecting it has thrown
     */
    public static boolean isLocal(IOException failure) {
        if (failure instanceof BindException) {
            return true;
        }
        if (failure instanceof ConnectException || failure instanceof NoRouteToHostException) {
            return false;
        }
        return LOCAL_REASONS.contains(String.valueOf(failure.getMessage()));
    }
}
