package tulipshed.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Set;

/**
 * Classifies failures to open a TCP connection as local, such as a shortage of descriptors, or caused by the remote end.
 *
 * <p>Java does not expose the error number. Some errors have an exception type of their own, others only the system's text:
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
 * <p>EHOSTUNREACH is remote, as it is the error for a host on the local network that is down.
 */
public final class ConnectFailures {
    /** System error texts of local failures. */
    private static final Set<String> LOCAL_ERROR_TEXTS = Set.of(
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
     * Whether the connection failed on this machine before a byte was sent: the failure says nothing about the remote
     * end, and the next attempt may succeed.
     *
     * @param failure the exception thrown when the socket was opened or connected
     */
    public static boolean isLocal(IOException failure) {
        if (failure instanceof BindException) {
            return true;
        }
        if (failure instanceof ConnectException || failure instanceof NoRouteToHostException) {
            return false;
        }
        return LOCAL_ERROR_TEXTS.contains(String.valueOf(failure.getMessage()));
    }
}
