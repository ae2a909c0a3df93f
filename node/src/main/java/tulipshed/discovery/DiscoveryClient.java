package tulipshed.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.jboss.logging.Logger;
import org.xnio.StreamConnection;
import tulipshed.limits.Limits;
import tulipshed.time.Clock;
import tulipshed.transport.ConnectionLoop;
import tulipshed.transport.TcpConnection;
import tulipshed.transport.XnioEventLoop;

/**
 * HTTP client of discovery that makes one call at a time, over a connection that stays open between calls.
 *
 * <p>Each step of a call (connect, first byte of the response, rest of the response) has a deadline of its own, which
 * adapts to a slow server. A call ends with exactly one notification of the listener, or with none if {@link #close} or
 * {@link #setAddress} abandons it. Confined to the event-loop thread.
 */
final class DiscoveryClient implements DiscoveryCalls, TcpConnection.Listener {
    private final Limits limits;
    private final XnioEventLoop loop;
    private final Listener listener;
    private final Logger log;
    private final ByteBuffer readBuffer;
    private final Clock clock;
    private final AdaptiveTimeout connectTimeout;

    /** Timeout for the rest of a response after its first byte. */
    private final AdaptiveTimeout responseTimeout;

    private InetSocketAddress address;
    private State state = State.DISCONNECTED;

    /** Null unless the state is {@code CONNECTING}. */
    private ConnectionLoop.PendingConnection pendingConnection;

    /** Null in the states {@code DISCONNECTED} and {@code CONNECTING}. */
    private TcpConnection connection;

    /** The request of the last call; null before the first. */
    private ListRequest request;

    /** Parses the response to the last call; null before the first. */
    private HttpResponseParser parser;

    /** Time at which the deadline of the current step was set. */
    private double stepStartedMs;

    /** Number of the last deadline set; earlier ones are ignored when they expire. */
    private long deadlineCount;

    private enum State {
        DISCONNECTED,
        CONNECTING,
        /** Connected, and no call is in progress. */
        IDLE,
        /** The request was sent, and no byte of its response has arrived. */
        AWAITING_RESPONSE,
        READING_RESPONSE
    }

    /** Creates a client that is not connected yet. */
    DiscoveryClient(
            InetSocketAddress address, Limits limits, XnioEventLoop loop, Clock clock, Logger log, Listener listener) {
        this.address = address;
        this.limits = limits;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
        readBuffer = ByteBuffer.allocate(limits.sockets().readBytes());
        connectTimeout = new AdaptiveTimeout(
                limits.discovery().connectTimeoutMs(), limits.discovery().maxConnectTimeoutMs());
        responseTimeout = new AdaptiveTimeout(
                limits.discovery().responseTimeoutMs(), limits.discovery().maxResponseTimeoutMs());
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void setAddress(InetSocketAddress newAddress) {
        close();
        address = newAddress;
    }

    @Override
    public boolean hasConnection() {
        return state != State.DISCONNECTED;
    }

    @Override
    public boolean isCallInProgress() {
        return state != State.DISCONNECTED && state != State.IDLE;
    }

    @Override
    public boolean isLastRequestLongPoll() {
        return request.isLongPoll();
    }

    @Override
    public void call(ListRequest newRequest) {
        request = newRequest;
        parser = new HttpResponseParser(
                limits.discovery().maxHeadBytes(), limits.discovery().maxBodyBytes());
        log.tracef("call starts, connected: %s", connection != null);
        if (connection == null) {
            connect();
        } else {
            sendRequest();
        }
    }

    @Override
    public void close() {
        state = State.DISCONNECTED;
        if (pendingConnection != null) {
            pendingConnection.abandon();
            pendingConnection = null;
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void connect() {
        state = State.CONNECTING;
        setDeadline(connectTimeout.currentMs(), CallFailure.CONNECT_TIMEOUT);
        pendingConnection =
                loop.connect(address, this::connectionOpened, cause -> failCall(CallFailure.connectFailed(cause)));
    }

    private void connectionOpened(StreamConnection established) {
        log.trace("connected");
        connectTimeout.completed(stepDurationMs());
        pendingConnection = null;
        connection = loop.register(established, this);
        connection.setReading(true);
        sendRequest();
    }

    private void sendRequest() {
        state = State.AWAITING_RESPONSE;
        setDeadline(request.waitMs() + listener.responseTimeoutMs(), CallFailure.NO_RESPONSE);
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        String head = "GET " + request.target() + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n";
        connection.write(head.getBytes(StandardCharsets.US_ASCII));
        log.tracef("request sent: %s, bytes queued: %d", request.target(), connection.queuedBytes());
    }

    /** Sets the deadline for the next step of the call in progress, in place of the previous deadline. */
    private void setDeadline(double ms, CallFailure failure) {
        long deadline = ++deadlineCount;
        stepStartedMs = clock.nowMs();
        loop.schedule(ms, () -> {
            if (deadline == deadlineCount) {
                stepExpired();
                failCall(failure);
            }
        });
    }

    /**
     * Lengthens the timeout of a step that expired. An incomplete response to a long poll leaves it as it is, so that
     * the call and its retries fit into the time within which a change has to be known.
     */
    private void stepExpired() {
        if (state == State.CONNECTING) {
            connectTimeout.expired();
        } else if (state == State.READING_RESPONSE && !request.isLongPoll()) {
            responseTimeout.expired();
        }
    }

    private double stepDurationMs() {
        return clock.nowMs() - stepStartedMs;
    }

    private void failCall(CallFailure failure) {
        if (isCallInProgress()) {
            log.tracef("call fails in state %s: %s", state, failure.logText());
            close();
            listener.onCallFailed(failure);
        }
    }

    @Override
    public void onReadable(TcpConnection source) {
        while (connection == source && !source.isClosed()) {
            readBuffer.clear();
            int count = source.read(readBuffer);
            if (count == 0) {
                return;
            }
            if (!isCallInProgress()) {
                close();
            } else if (count < 0) {
                endOfInput();
            } else {
                responseReceived(readBuffer.flip());
            }
        }
    }

    private void endOfInput() {
        if (parser.endOfInput()) {
            completeCall(false);
        } else {
            failCall(CallFailure.CONNECTION_LOST);
        }
    }

    private void responseReceived(ByteBuffer bytes) {
        if (state == State.AWAITING_RESPONSE) {
            log.tracef("response begins, %d bytes", bytes.remaining());
            state = State.READING_RESPONSE;
            setDeadline(responseTimeout.currentMs(), CallFailure.INCOMPLETE_RESPONSE);
        }
        boolean complete;
        try {
            complete = parser.parse(bytes);
        } catch (MalformedResponseException e) {
            failCall(CallFailure.malformedResponse(e));
            return;
        }
        if (complete) {
            completeCall(!parser.closesConnection());
        }
    }

    private void completeCall(boolean keepConnection) {
        responseTimeout.completed(stepDurationMs());
        if (keepConnection) {
            state = State.IDLE;
        } else {
            close();
        }
        log.tracef("response complete, status %d, %d bytes", parser.status(), parser.body().length);
        listener.onResponse(parser.status(), parser.body());
    }

    @Override
    public void onWritten(TcpConnection source) {
        // Requests are short, so nothing depends on the completion of a write.
    }

    @Override
    public void onBroken(TcpConnection source) {
        if (connection != source) {
            return;
        }
        if (isCallInProgress()) {
            failCall(CallFailure.CONNECTION_LOST);
        } else {
            close();
        }
    }
}
