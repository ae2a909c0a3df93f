package tulipshed.lineprotocol;

import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.Request;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.routing.RequestOrigin;

/**
 * The request of one client, from its open command on: registers it with the core, and opens the connections of its
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

    /** A request that {@link #start} makes; its final response goes through {@code responder}. */
    ClientRequest(LineProtocolFrontend frontend, ClientSession session, ClientConnection responder) {
        this.frontend = frontend;
        this.context = frontend.context();
        this.session = session;
        this.responder = responder;
    }

    /** Registers the request of the client's open command with the core. */
    void start(OpenCommand command, RequestOrigin origin) {
        openCommand = command;
        Request arrived = new Request(
                responder, this, command.attributes(), origin, context.clock().nowMs(), command.isAdopted());
        if (command.isAdopted()) {
            context.core().adoptConnection(arrived, command.adoptedFrom());
        } else {
            context.core().requestArrived(arrived);
        }
        request = arrived;
    }

    /** Whether the core has taken the request. */
    boolean hasArrived() {
        return request != null;
    }

    /** Notifies the core that the client needs no response any more. */
    void cancel() {
        context.core().clientDisconnected(request);
    }

    /** The connection of the latest attempt; null before the first one, and once it was abandoned. */
    UpstreamConnection upstream() {
        return upstream;
    }

    /** The endpoint of this connection serves the request. */
    void established(UpstreamConnection established) {
        upstream = established;
    }

    @Override
    public void open(Attempt attempt) {
        session.readAvailableInput();
        if (session.state() != ClientState.PENDING) {
            // The client has gone; the core has just been notified, and abandons the attempt.
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
