package tulipshed.quic;

import java.util.random.RandomGenerator;
import tulipshed.connectionid.ConnectionId;
import tulipshed.time.Clock;

/**
 * Address validation with Retry (RFC 9000 sections 8.1.2 and 17.2.5). Nothing is stored for a client that has to validate its
 * address: its token carries everything.
 */
final class AddressValidation {
    private static final int RETRY_SOURCE_ID_BYTES = 16;

    private final Clock clock;
    private final QuicSettings settings;
    private final ConnectionAdmission admission;
    private final QuicMetrics metrics;
    private final RandomGenerator random;

    /** Validates addresses with the tokens and the thresholds of {@code settings}. */
    AddressValidation(
            Clock clock,
            QuicSettings settings,
            ConnectionAdmission admission,
            QuicMetrics metrics,
            RandomGenerator random) {
        this.clock = clock;
        this.settings = settings;
        this.admission = admission;
        this.metrics = metrics;
        this.random = random;
    }

    /** Whether the Initial carries a valid token of this service; any other token counts as none. */
    boolean isValidated(UnknownDatagram datagram) {
        Packet initial = datagram.first();
        RetryTokens tokens = settings.config().tokens();
        boolean isValid = tokens != null
                && tokens.open(initial.token(), datagram.from(), initial.destination(), clock.nowMs()) != null;
        if (isValid) {
            metrics.count(QuicCounter.RETRY_ACCEPTED);
        }
        return isValid;
    }

    /** Whether clients without a valid token get a Retry now. */
    boolean isRetryRequired() {
        RetryPolicy policy = settings.config().policy();
        return policy != null && policy.isRetryRequired(admission.unvalidatedAddresses(), clock.nowMs());
    }

    /** Answers an Initial with a Retry. */
    void sendRetry(UnknownDatagram datagram, Version version) {
        Packet initial = datagram.first();
        byte[] idBytes = new byte[RETRY_SOURCE_ID_BYTES];
        random.nextBytes(idBytes);
        ConnectionId retrySourceId = new ConnectionId(idBytes);
        byte[] token =
                settings.config().tokens().seal(datagram.from(), initial.destination(), retrySourceId, clock.nowMs());
        metrics.count(QuicCounter.RETRY_SENT);
        datagram.answer(
                RetryPacket.make(version, initial.source(), retrySourceId, initial.destination(), token, random));
    }
}
