package tulipshed.proxy;

import java.util.List;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.RequestClass;
import tulipshed.time.Clock;

/** The settings in force, with their durations in milliseconds. Confined to the event-loop thread. */
final class ActiveSettings {
    private BalancerSettings settings;

    ActiveSettings(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Replaces the settings; requests that arrived before keep their class. */
    void replace(BalancerSettings changed) {
        settings = changed;
    }

    /** The class at {@code index} of the settings in force. */
    RequestClass requestClass(int index) {
        return settings.classes().get(index);
    }

    /** The index of the class of that name, -1 where the settings no longer have it. */
    int indexOfClass(String name) {
        List<String> names = settings.classes().stream().map(RequestClass::name).toList();
        return names.indexOf(name);
    }

    /** The longest deadline of any class, 0 without classes. */
    double longestDeadlineMs() {
        return Clock.toMillis(settings.classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0));
    }

    /** How long an endpoint that drains gives its connections. */
    double drainGraceMs() {
        return Clock.toMillis(settings.rules().drainGraceUs());
    }

    /** How long an attempt may take to connect. */
    double connectTimeoutMs() {
        return Clock.toMillis(settings.limits().connectTimeoutUs());
    }

    /** How many attempts one request may have. */
    int maxAttempts() {
        return settings.limits().maxAttempts();
    }

    /** The delay that a rejected client may be given: at most that of the settings, 0 where they allow none. */
    double retryAfterMs(double wantedMs) {
        return settings.limits().retryAfter()
                ? Math.min(wantedMs, Clock.toMillis(settings.limits().maxRetryAfterUs()))
                : 0;
    }

    /** Whether health checks may be sent. */
    boolean allowsHealthChecks() {
        return settings.limits().healthChecks();
    }

    /** Whether datagrams to other nodes may be sent. */
    boolean allowsPeerMessages() {
        return settings.limits().peerMessages();
    }

    /** Whether responses may end with a load report. */
    boolean expectsInlineLoadReports() {
        return settings.loadReportSource() == LoadReportSource.RESPONSES;
    }
}
