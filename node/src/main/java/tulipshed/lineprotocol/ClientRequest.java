package tulipshed.lineprotocol;

import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.Request;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.routing.RequestOrigin;

/**
 * The request of one client, beginning with its open command: registers it with the core and opens the connections of its
 * attempts. Confined to the event-loop thread.
 */
final class ClientRequest implements UpstreamConnector {
    private final LineProtocolFrontend frontend;
    private final FrontendContext context;
    private final ClientSession session;
    private final ClientConnection responder;
    private OpenCommand openCommand;
    private Request request;
    private UpstreamConnection upstream;

    /** Creates a request that {@link #start} registers; its final response is sent through {@code responder}. */
    ClientRequest(LineProtocolFrontend frontend, ClientSession session, ClientConnection responder) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.session = session;
        this.responder = responder;
    }

    /** Registers the request of the client's open command with the core. */
    void start(OpenCommand command, RequestOrigin origin) {
        openCommand = command;
        Request newRequest = new Request(
                responder, this, command.parameters(), origin, context.clock().nowMs(), command.isAdopted());
        if (command.isAdopted()) {
            context.core().adoptConnection(newRequest, command.adoptedEndpointId());
        } else {
            context.core().requestArrived(newRequest);
        }
        request = newRequest;
    }

    /** Whether the request has been registered with the core. */
    boolean isRegistered() {
        return request != null;
    }

    /** Whether the request must not be forwarded again, even if a client sends it a second time with the same ID. */
    boolean forbidsRepetition() {
        return request != null && request.forbidsRepetition();
    }

    /** Cancels the request; the core treats the client as disconnected. */
    void cancel() {
        context.core().clientDisconnected(request);
    }

    /** The connection of the latest attempt; null before the first attempt and after the core abandoned the latest one. */
    UpstreamConnection upstream() {
        return upstream;
    }

    /** Records the connection whose endpoint serves the request. */
    void setEstablished(UpstreamConnection established) {
        upstream = established;
    }

    @Override
    public void open(Attempt attempt) {
        session.readAvailableInput();
        if (session.state() != ClientState.PENDING) {
            // The client has disconnected; the core has just been notified and abandons the attempt.
            return;
        }
        upstream = new UpstreamConnection(frontend, session, openCommand, attempt);
        upstream.connect();
    }

    @Override
    public void abandon(Attempt attempt) {
        if (upstream != null && upstream.attempt() == attempt) {
            upstream.abandon();
            upstream = null;
        }
    }
}
