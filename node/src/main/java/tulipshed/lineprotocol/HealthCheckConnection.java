package tulipshed.lineprotocol;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Endpoint;
import tulipshed.transport.ConnectFailures;
import tulipshed.transport.ConnectionLoop;
import tulipshed.transport.TcpConnection;

/**
 * The connection for the health checks of one endpoint. At most one check is in progress at a time, and each has a
 * timeout. Confined to the event-loop thread.
 */
final class HealthCheckConnection implements TcpConnection.Listener {
    private final HealthCheckConnections owner;
    private final FrontendContext context;
    private final String endpointId;
    private final InetSocketAddress address;
    private final CrlfDecoder decoder;
    private final StreamReader.Receiver endpointInput = new EndpointInput();
    private ConnectionLoop.PendingConnection pendingConnection;
    private TcpConnection connection;
    private boolean isChecking;
    private boolean isReused;
    private int checkNumber;
    private double lastUsedMs;

    HealthCheckConnection(HealthCheckConnections owner, FrontendContext context, Endpoint endpoint) {
        this.owner = owner;
        this.context = context;
        this.endpointId = endpoint.id();
        this.address = endpoint.address();
        this.decoder = new CrlfDecoder(context.limits().lineProtocol().maxLineBytes());
    }

    /** Whether a check is in progress. */
    boolean isChecking() {
        return isChecking;
    }

    /** The address that the connection is made to. */
    InetSocketAddress address() {
        return address;
    }

    /** The monotonic time at which the last check began, in milliseconds. */
    double lastUsedMs() {
        return lastUsedMs;
    }

    /** Starts a check, on the open connection if there is one. */
    void check() {
        isChecking = true;
        lastUsedMs = context.clock().nowMs();
        isReused = connection != null;
        checkNumber++;
        int startedCheckNumber = checkNumber;
        if (isReused) {
            connection.write(WireMessages.HEALTH_CHECK);
        } else {
            connect();
        }
        context.eventLoop()
                .schedule(context.limits().healthChecks().responseTimeoutMs(), () -> onTimeout(startedCheckNumber));
    }

    private void onTimeout(int timedCheckNumber) {
        if (isChecking && checkNumber == timedCheckNumber) {
            end(connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT);
        }
    }

    private void connect() {
        pendingConnection = context.eventLoop().connect(address, this::onConnected, this::onConnectFailed);
    }

    private void onConnectFailed(IOException reason) {
        end(ConnectFailures.isLocal(reason) ? Outcome.UNUSED : Outcome.CONNECT_FAILED);
    }

    private void onConnected(StreamConnection connected) {
        pendingConnection = null;
        connection = context.eventLoop().register(connected, this);
        connection.write(WireMessages.HEALTH_CHECK);
        connection.setReading(true);
    }

    /** Ends the check, if one is in progress, and notifies the core of its result; does not close the connection. */
    private void complete(Outcome outcome, LoadReport report) {
        if (isChecking) {
            isChecking = false;
            context.core().healthCheckCompleted(endpointId, outcome, report);
        }
    }

    /** Closes the connection, and ends the check if one is in progress. */
    void end(Outcome outcome) {
        close();
        complete(outcome, LoadReport.NONE);
    }

    /** Closes the connection without notifying the core. */
    void close() {
        owner.removeClosed(endpointId, this);
        if (pendingConnection != null) {
            pendingConnection.abandon();
        }
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void onReadable(TcpConnection from) {
        int maxReads = context.limits().sockets().maxReadsPerEvent();
        StreamReader.read(connection, context.readBuffer(), maxReads, endpointInput);
    }

    /** Receives the endpoint's input. */
    private final class EndpointInput implements StreamReader.Receiver {
        @Override
        public boolean isReading() {
            return !connection.isClosed();
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            readLines(bytes);
        }

        @Override
        public void onEndOfStream() {
            onBroken(connection);
        }
    }

    private void readLines(ByteBuffer in) {
        try {
            for (byte[] line = decoder.next(in); line != null && !connection.isClosed(); line = decoder.next(in)) {
                handleMessage(EndpointMessage.parse(line));
            }
        } catch (MalformedLineException e) {
            context.upstreamErrors().record(e.getMessage());
            end(Outcome.ERROR);
        }
    }

    private void handleMessage(EndpointMessage message) {
        if (!isChecking) {
            // The response to the next check could not be distinguished from further unsolicited lines.
            context.upstreamErrors().record("an unsolicited line");
            close();
            return;
        }
        switch (message.kind()) {
            case HEALTHY -> complete(Outcome.OK, LoadReportParser.parse(message.arguments()));
            case FAILED -> complete(Outcome.ERROR, LoadReport.NONE);
            case HEALTH_CHECK_FORBIDDEN -> failMalformed("a health check that is not allowed");
            default -> failMalformed("a response other than PONG or ERR");
        }
    }

    private void failMalformed(String reason) {
        context.upstreamErrors().record(reason);
        end(Outcome.ERROR);
    }

    @Override
    public void onWritten(TcpConnection from) {}

    /** Reconnects once if a reused connection fails: the endpoint may have closed it while it was idle. */
    @Override
    public void onBroken(TcpConnection from) {
        connection.close();
        if (isChecking && isReused) {
            isReused = false;
            connection = null;
            decoder.takePartialLine();
            connect();
        } else {
            end(Outcome.RESET);
        }
    }
}
