package tulipshed.quic;

import java.util.random.RandomGenerator;

/** Opens, resumes or refuses connections for datagrams with unknown connection IDs (RFC 9000 section 5.2.2). */
final class ConnectionOpener {
    /** RFC 9000 section 14.1. */
    private static final int MIN_INITIAL_DATAGRAM_BYTES = 1200;

    /** RFC 9000 section 7.2. */
    private static final int MIN_INITIAL_ID_BYTES = 8;

    private final QuicContext context;
    private final AddressValidation addressValidation;
    private final RandomGenerator random;

    /** Adds connections to the table of {@code context}. */
    ConnectionOpener(QuicContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
        addressValidation = new AddressValidation(
                context.clock(), context.settings(), context.admission(), context.metrics(), random);
    }

    /** Processes a datagram with an unknown ID; one that opens and resumes nothing gets an answer or is dropped. */
    void process(UnknownDatagram datagram) {
        Packet first = datagram.first();
        if (first.type() == Packet.Type.INITIAL && first.fixedBit()) {
            open(datagram);
        } else if (first.type() == Packet.Type.OTHER_VERSION) {
            negotiateVersion(datagram);
        } else if (first.type() == Packet.Type.SHORT && first.fixedBit()) {
            resume(datagram);
        }
    }

    /** An Initial opens a connection if a client could have sent it. */
    private void open(UnknownDatagram datagram) {
        Packet initial = datagram.first();
        if (datagram.bytes().length < MIN_INITIAL_DATAGRAM_BYTES
                || initial.destination().length() < MIN_INITIAL_ID_BYTES) {
            context.metrics().count(QuicCounter.DROPPED_SMALL);
            return;
        }
        ClientHelloAssembler clientHello = new ClientHelloAssembler(
                initial.destination(), context.limits().quic().maxClientHelloBytes());
        try {
            if (!clientHello.addInitials(datagram.packets()) || clientHello.closes()) {
                context.metrics().count(QuicCounter.DROPPED_MALFORMED);
                return;
            }
        } catch (MalformedPacketException e) {
            // The keys were right, so the sender gets an answer, which is shorter than what it sent.
            refuse(
                    datagram,
                    clientHello.version(),
                    InitialFrames.PROTOCOL_VIOLATION,
                    CloseReason.MALFORMED_CLIENT_HELLO);
            return;
        }
        admit(datagram, clientHello);
    }

    private void admit(UnknownDatagram datagram, ClientHelloAssembler clientHello) {
        boolean isValidated = addressValidation.isValidated(datagram);
        if (!isValidated && addressValidation.isRetryRequired()) {
            addressValidation.sendRetry(datagram, clientHello.version());
            return;
        }
        boolean isAdmitted = clientHello.hello() == null
                ? context.admission().admitsIncompleteClientHello()
                : context.admission().admits();
        if (!isAdmitted) {
            double retryAfterMs =
                    context.core().retryAfterMs(context.limits().sockets().overloadRetryAfterMs());
            refuse(
                    datagram,
                    clientHello.version(),
                    InitialFrames.CONNECTION_REFUSED,
                    CloseReason.overload(retryAfterMs));
            return;
        }
        if (!context.settings().hasRequestParameters()) {
            refuse(datagram, clientHello.version(), InitialFrames.INTERNAL_ERROR, CloseReason.UNKNOWN_CLASS);
            return;
        }
        addSession(datagram, clientHello, isValidated);
    }

    private void addSession(UnknownDatagram datagram, ClientHelloAssembler clientHello, boolean isValidated) {
        Packet initial = datagram.first();
        QuicSession session = new QuicSession(
                context,
                ConnectionStateMachine.opens(
                        context.limits().quic(),
                        initial.destination(),
                        initial.source(),
                        datagram.bytes(),
                        clientHello,
                        isValidated,
                        context.clock().nowMs()),
                datagram.listener(),
                datagram.from());
        context.table().add(session);
        context.metrics().count(clientHello.version() == Version.V2 ? QuicCounter.OPENED_V2 : QuicCounter.OPENED_V1);
        session.open();
    }

    private static void refuse(UnknownDatagram datagram, Version version, int errorCode, String reason) {
        Packet initial = datagram.first();
        datagram.answer(InitialClose.datagram(version, initial.destination(), initial.source(), errorCode, reason));
    }

    /**
     * A short header with an unknown ID resumes the connection at the endpoint that the server ID names: clients change IDs
     * when they change networks, and a restarted node knows none. Where the endpoint is not serving the client gets a reset.
     */
    private void resume(UnknownDatagram datagram) {
        ConnectionIdRoute route = datagram.route();
        if (route == null) {
            context.metrics().count(QuicCounter.DROPPED_UNKNOWN_ID);
            return;
        }
        Packet first = datagram.first();
        if (!context.core().isServing(route.endpointId())
                || !context.settings().hasRequestParameters()
                || !context.admission().admits()) {
            context.resets().send(datagram.listener(), datagram.from(), first.destination(), datagram.bytes().length);
            return;
        }
        QuicSession session = new QuicSession(
                context,
                ConnectionStateMachine.resumes(
                        context.limits().quic(),
                        first.destination(),
                        datagram.bytes(),
                        context.clock().nowMs()),
                datagram.listener(),
                datagram.from());
        context.table().add(session);
        context.metrics().count(QuicCounter.RESUMED);
        context.admission().resumed(session);
        session.resume(route.endpointId());
    }

    private void negotiateVersion(UnknownDatagram datagram) {
        if (datagram.bytes().length < MIN_INITIAL_DATAGRAM_BYTES) {
            return;
        }
        context.metrics().count(QuicCounter.NEGOTIATED);
        datagram.answer(VersionNegotiation.answer(datagram.first(), random));
    }
}
