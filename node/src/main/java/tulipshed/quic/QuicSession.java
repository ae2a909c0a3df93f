package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.List;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Attempt;
import tulipshed.proxy.ClientConnection;
import tulipshed.proxy.Request;
import tulipshed.proxy.UpstreamConnector;
import tulipshed.transport.UdpSocket;

/**
 * One QUIC connection (RFC 9000 section 5): carries out the actions of its {@link ConnectionStateMachine} between the client's
 * paths and the core, and opens the flows to endpoints.
 */
final class QuicSession implements ClientConnection, UpstreamConnector {
    private final QuicContext context;
    private final ConnectionStateMachine machine;
    private final ClientPaths paths;
    private final ClientResponder client;
    private final SessionAdmission admission;

    private Request request;
    private Attempt attempt;

    /** A connection whose client's first datagram was received at this address. */
    QuicSession(QuicContext context, ConnectionStateMachine machine, UdpSocket listener, InetSocketAddress address) {
        this.context = context;
        this.machine = machine;
        paths = new ClientPaths(context, this, listener, address, machine.currentId());
        client = new ClientResponder(context, machine, paths);
        admission = new SessionAdmission(context.admission(), this);
    }

    /** Starts a new connection. */
    void open() {
        if (!machine.isAddressValidated()) {
            admission.addressUnvalidated();
        }
        if (machine.stage() == ConnectionStage.AWAITING_CLIENT_HELLO) {
            admission.clientHelloStarted();
        } else {
            startRequest();
        }
    }

    private void startRequest() {
        request = new Request(
                this,
                this,
                context.settings().requestParameters(machine.initialKeyId().toString()),
                QuicRequestOrigin.of(paths.current().address().client(), machine.takeClientHello()),
                context.clock().nowMs(),
                false);
        context.core().requestArrived(request);
    }

    /** Starts a connection that is established at this endpoint already. */
    void resume(String endpointId) {
        admission.resumed();
        paths.learnNumber(machine.currentId(), endpointId);
        request = new Request(
                this,
                this,
                context.settings().requestParameters(machine.currentId().toString()),
                QuicRequestOrigin.of(paths.current().address().client(), null),
                context.clock().nowMs(),
                true);
        context.core().adoptConnection(request, endpointId);
    }

    /** Ends a resumed connection in favour of others; its client is resumed again with its next datagram. */
    void evict() {
        if (attempt != null) {
            context.core().attemptEnded(attempt, Outcome.CANCELLED);
            remove();
        }
    }

    /** Processes a datagram that the client has sent by one of its paths. */
    void fromClient(ClientPath path, byte[] datagram, List<Packet> packets) {
        double nowMs = context.clock().nowMs();
        paths.received(path, nowMs);
        boolean wasAwaitingClientHello = machine.stage() == ConnectionStage.AWAITING_CLIENT_HELLO;
        ConnectionAction action = machine.fromClient(datagram, packets, nowMs);
        if (wasAwaitingClientHello
                && action != ConnectionAction.AWAIT_CLIENT_HELLO
                && action != ConnectionAction.DROP) {
            admission.clientHelloEnded();
        }
        if (machine.isAddressValidated()) {
            admission.addressSettled();
        }
        switch (action) {
            case FORWARD -> forwardToEndpoint(path, datagram, nowMs);
            case REPEAT_ANSWER -> client.repeatClose(datagram.length);
            case START_REQUEST -> startRequestIfConfigured();
            case REFUSE_MALFORMED -> answer(InitialFrames.PROTOCOL_VIOLATION, CloseReason.MALFORMED_CLIENT_HELLO);
            case REFUSE_INCOMPLETE -> refuseIncompleteClientHello();
            case CLIENT_CLOSED -> clientClosed();
            default -> {}
        }
    }

    private void startRequestIfConfigured() {
        if (context.settings().hasRequestParameters()) {
            startRequest();
        } else {
            answer(InitialFrames.INTERNAL_ERROR, CloseReason.UNKNOWN_CLASS);
        }
    }

    private void clientClosed() {
        if (request != null) {
            context.core().clientDisconnected(request);
        }
        end();
    }

    private void refuseIncompleteClientHello() {
        context.metrics().count(QuicCounter.CLIENT_HELLO_INCOMPLETE);
        answer(InitialFrames.CONNECTION_REFUSED, CloseReason.INCOMPLETE_CLIENT_HELLO);
    }

    private void forwardToEndpoint(ClientPath path, byte[] datagram, double nowMs) {
        if (path.flow() == null && machine.stage() == ConnectionStage.ESTABLISHED) {
            path.replaceFlow(UpstreamFlow.openFurther(context, attempt, received -> fromEndpoint(path, received)));
        }
        if (path.flow() != null) {
            path.flow().send(datagram, nowMs);
        }
    }

    /** Whether the client has sent packets that only follow the Initial ones. */
    boolean isPastInitial() {
        return !machine.canReadInitial();
    }

    /** The client's network paths. */
    ClientPaths paths() {
        return paths;
    }

    @Override
    public void reject(double retryAfterMs) {
        answer(InitialFrames.CONNECTION_REFUSED, CloseReason.overload(retryAfterMs));
    }

    @Override
    public void fail() {
        answer(InitialFrames.INTERNAL_ERROR, CloseReason.FAILED);
    }

    @Override
    public void migrate() {
        answer(InitialFrames.CONNECTION_REFUSED, CloseReason.MIGRATE);
    }

    private void answer(int errorCode, String reason) {
        if (machine.stage() == ConnectionStage.CLOSED) {
            return;
        }
        client.close(errorCode, reason);
        end();
    }

    private void end() {
        admission.addressSettled();
        admission.confirmed();
        machine.close(context.clock().nowMs());
        paths.closeFlows();
    }

    @Override
    public void open(Attempt opened) {
        attempt = opened;
        // The client's CONNECTION_CLOSE may have arrived and not have been read yet.
        context.receiveAvailable().run();
        if (machine.stage() == ConnectionStage.CLOSED) {
            // The core has just been notified that the client has gone, and abandons the attempt.
            return;
        }
        ClientPath path = paths.current();
        UpstreamFlow flow = UpstreamFlow.openFirst(context, opened, received -> fromEndpoint(path, received));
        path.replaceFlow(flow);
        if (flow == null) {
            return;
        }
        double nowMs = context.clock().nowMs();
        machine.firstDatagrams().forEach(datagram -> flow.send(datagram, nowMs));
        context.core().attemptForwarded();
    }

    @Override
    public void abandon(Attempt abandoned) {
        if (attempt == abandoned) {
            paths.closeFlows();
        }
    }

    @Override
    public boolean mustLeaveDrainingEndpoint() {
        return true;
    }

    private void fromEndpoint(ClientPath path, byte[] datagram) {
        List<Packet> packets;
        try {
            packets = Packet.read(datagram, machine.clientIdLength());
        } catch (MalformedPacketException e) {
            return;
        }
        ConnectionAction action = machine.fromEndpoint(packets, context.clock().nowMs());
        if (action == ConnectionAction.DROP || path.flow() == null) {
            return;
        }
        path.flow().received();
        switch (action) {
            case ENDPOINT_REFUSED -> endAttempt(Outcome.FULL);
            case ENDPOINT_FAILED -> endAttempt(Outcome.ERROR);
            case FORWARD_RETRY -> {
                Packet retry = packets.get(0);
                paths.learn(retry.source(), path);
                client.send(path, retry.datagram());
            }
            case ESTABLISH -> {
                if (context.core().attemptEstablished(attempt)) {
                    machine.establish();
                    admission.confirmed();
                    forwardToClient(path, datagram, packets);
                }
            }
            default -> forwardToClient(path, datagram, packets);
        }
    }

    private void endAttempt(Outcome outcome) {
        paths.closeFlows();
        context.core().attemptEnded(attempt, outcome);
    }

    private void forwardToClient(ClientPath path, byte[] datagram, List<Packet> packets) {
        paths.learnFromEndpoint(packets, path, attempt.endpoint().id());
        client.send(path, datagram);
        if (packets.get(0).type() == Packet.Type.SHORT && paths.isStatelessReset(datagram)) {
            // The server has lost its state, and the client has its reset; datagrams to come are answered here.
            context.metrics().count(QuicCounter.RESETS_FORWARDED);
            end();
            context.core().attemptEnded(attempt, Outcome.RESET);
        }
    }

    /** Whether the connection is established at this endpoint. */
    boolean isEstablishedAt(String endpointId) {
        return machine.stage() == ConnectionStage.ESTABLISHED
                && attempt.endpoint().id().equals(endpointId);
    }

    /** The attempt; for tests. */
    Attempt attempt() {
        return attempt;
    }

    /** Ends what has exceeded its timeout. */
    void checkTimeouts(double nowMs) {
        paths.closeIdleFlows(nowMs);
        UpstreamFlow flow = paths.current().flow();
        switch (machine.checkTimeouts(nowMs, flow != null && flow.isUnresponsive(nowMs))) {
            case REMOVE -> remove();
            case REFUSE_INCOMPLETE -> {
                admission.clientHelloEnded();
                refuseIncompleteClientHello();
            }
            case ENDPOINT_UNRESPONSIVE -> context.core().endpointUnresponsive(attempt);
            case IDLE_TIMEOUT -> {
                // How the connection ended is unknown, as its last packets cannot be read.
                context.core().attemptEnded(attempt, Outcome.OK);
                end();
                remove();
            }
            default -> {}
        }
    }

    private void remove() {
        paths.removeFromTable();
        context.table().remove(this);
    }
}
