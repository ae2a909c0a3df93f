package tulipshed.lineprotocol;

import java.io.IOException;
import java.util.List;

/**
 * What a failure to open a connection says. Stands in for {@code tulipshed.transport.ConnectFailures}, which has the same
 * method: once that class is here, this one goes and its users import the other.
 */
final class ConnectFailures {
    /**
     * The texts of the C library for EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL and ENETUNREACH; the platform gives no
     * numbers. The first is part of the text for ENFILE.
     */
    private static final List<String> LOCAL_REASONS = List.of(
            "Too many open files",
            "No buffer space available",
            "Cannot allocate memory",
            "Cannot assign requested address",
            "Network is unreachable");

    private ConnectFailures() {}

    /** Whether this machine could not even begin to connect, which says nothing of the remote end. */
    static boolean isLocal(IOException failure) {
        String reason = String.valueOf(failure.getMessage());
        return LOCAL_REASONS.stream().anyMatch(reason::contains);
    }
}
