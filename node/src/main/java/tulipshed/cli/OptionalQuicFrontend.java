package tulipshed.cli;

import java.io.IOException;
import org.jboss.logging.Logger;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.operators.OperatorsFile;
import tulipshed.proxy.ProxyCore;
import tulipshed.quic.QuicConfig;
import tulipshed.quic.QuicFrontend;
import tulipshed.time.SystemWallClock;
import tulipshed.transport.XnioEventLoop;

/**
 * The QUIC frontend of a node: disabled unless the operators' file configures it at startup, and closed until {@link
 * #openIfConfigured}, as only one process of the node at a time can bind the UDP port. Confined to the event-loop
 * thread.
 */
final class OptionalQuicFrontend {
    private final NodeOptions options;
    private final QuicConfig configAtStart;
    private final XnioEventLoop loop;
    private final ProxyCore core;
    private final Logger log;
    private NameIndex names;

    /** Null until the frontend is open. */
    private QuicFrontend frontend;

    private boolean isNodeStarted;

    /** The last logged reason why the frontend could not be opened; empty if there is none. */
    private String loggedFailure = "";

    /**
     * Creates a closed frontend.
     *
     * @param configAtStart the configuration with which the frontend opens; null if it is disabled until the next
     *     restart
     */
    OptionalQuicFrontend(NodeOptions options, QuicConfig configAtStart, XnioEventLoop loop, ProxyCore core) {
        this.options = options;
        this.configAtStart = configAtStart;
        this.loop = loop;
        this.core = core;
        log = options.log().logger("node");
        names = options.config().nameIndex();
    }

    /**
     * Opens the frontend if it is configured and not open yet.
     *
     * @throws MalformedInputException if a configured address cannot be bound while the node starts; after the start,
     *     when the hot-restart peer has exited, the failure is logged and the next call tries again
     */
    void openIfConfigured() {
        if (frontend != null || configAtStart == null) {
            return;
        }
        try {
            frontend = new QuicFrontend(
                    options.clock(), options.limits(), configAtStart, names, loop, core, options.log());
            log.info("QUIC frontend listens on " + frontend.address());
        } catch (IOException e) {
            handleOpenFailure("QUIC frontend " + e.getMessage());
        }
    }

    private void handleOpenFailure(String reason) {
        if (!isNodeStarted) {
            throw new MalformedInputException(reason);
        }
        if (!reason.equals(loggedFailure)) {
            loggedFailure = reason;
            log.warn(reason);
        }
    }

    /**
     * Records that the node serves: from now on a failure to open the frontend is logged and does not end the process.
     */
    void nodeStarted() {
        isNodeStarted = true;
    }

    /** Applies changed names and, if the frontend is open, the QUIC section of the operators' file if there is one. */
    void reconfigure(NameIndex changedNames, OperatorsFile operators) {
        names = changedNames;
        if (frontend == null) {
            return;
        }
        frontend.reconfigure(names);
        if (operators.quic() != null) {
            frontend.reconfigure(QuicConfig.of(operators.quic(), options.limits(), new SystemWallClock()));
        }
    }

    /** Stops accepting new connections. */
    void startDraining() {
        if (frontend != null) {
            frontend.startDraining();
        }
    }

    /** Closes the frontend if it is open. */
    void close() {
        if (frontend != null) {
            frontend.close();
        }
    }
}
