package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.RequestClass;

/** The active settings and their replacement. */
class ActiveSettingsTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    /** Events carry the index of a class: under new settings, an earlier request would be taken for one of another class. */
    @Test
    void deliversNewSettingsAfterEarlierEvents() {
        BalancerSettings old = NodeJsonSettings.nodeSettings();
        List<RequestClass> classes = old.classes();
        fixture.core.attemptEstablished(fixture.startAttempt(2000));
        fixture.takeRecorded();
        fixture.requestArrives(2000);
        fixture.adoptConnection("s-9");
        RequestClass changed = new RequestClass(
                "gate-alarm",
                1,
                2000,
                1,
                classes.get(0).idempotency(),
                classes.get(0).deduplicationScope(),
                1,
                1);
        fixture.core.reconfigure(NodeJsonSettings.withClasses(old, List.of(classes.get(2), changed)));
        assertEquals(List.of("request 2000", "settings 2"), fixture.takeRecorded());
        assertEquals("0 0 0", fixture.responseCounts("gate-alarm"));
        fixture.updateEndpoint("s-9", EndpointStatus.SERVING);
        fixture.advance(150);
        assertEquals(
                List.of("endpoints CHANGES", "adopted s-9", "open s-9"),
                fixture.takeRecorded(),
                "resumes although its class has been removed");
        fixture.core.attemptEstablished(fixture.attempts.get(1));
        assertEquals("2 0 0", fixture.responseCounts("slot-board"), "the response still counts for the removed class");
        assertEquals(3000, fixture.core.longestDeadlineMs());
    }

    @Test
    void capsRetryAfterAtMaximumOfSettings() {
        BalancerSettings settings = NodeJsonSettings.nodeSettings();
        double maxRetryAfterMs = settings.limits().maxRetryAfterUs() / 1000.0;
        ActiveSettings active = new ActiveSettings(settings);
        assertEquals(maxRetryAfterMs, active.retryAfterMs(maxRetryAfterMs + 1));
        assertEquals(1, active.retryAfterMs(1));
    }

    @Test
    void findsNoIndexOfClassThatSettingsDoNotName() {
        ActiveSettings active = new ActiveSettings(NodeJsonSettings.nodeSettings());
        assertEquals(0, active.indexOfClass(active.requestClass(0).name()));
        assertEquals(-1, active.indexOfClass("no-such-class"));
    }
}
