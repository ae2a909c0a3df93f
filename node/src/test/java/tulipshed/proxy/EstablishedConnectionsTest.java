package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/** The connections established through this process, and their publication to the hot-restart peer. */
class EstablishedConnectionsTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void publishesConnectionsToHotRestartPeer() {
        RecordingHotRestartPeer peer = new RecordingHotRestartPeer();
        fixture.core.setHotRestartPeer(peer);
        Attempt attempt = fixture.startAttempt(2000);
        fixture.core.attemptEstablished(attempt);
        fixture.core.attemptEnded(attempt, Outcome.OK);
        assertEquals(
                List.of(new EstablishedConnection("s-1", null, 0), 7),
                peer.published,
                "published, and withdrawn by slot");
    }

    @Test
    void endedConnectionIsNoLongerOldest() {
        EstablishedConnections established = new EstablishedConnections();
        Attempt first = fixture.startAttempt(2000);
        Attempt second = fixture.startAttempt(2000);
        established.add(first.request(), first.endpoint());
        established.add(second.request(), second.endpoint());
        established.remove(first.request());
        assertEquals(Optional.of(second.request()), established.oldest());
        assertEquals(1, established.size());
    }
}
