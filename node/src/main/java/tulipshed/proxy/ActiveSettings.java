package tulipshed.proxy;

import java.util.List;
import tulipshed.decision.api.BalancerSettings;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.RequestClass;
import tulipshed.time.Clock;

/** The active settings, with durations in milliseconds. Confined to the event-loop thread. */
final class ActiveSettings {
    private BalancerSettings settings;

    ActiveSettings(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Replaces the settings; requests that have already arrived keep their class. */
    void replace(BalancerSettings changed) {
        settings = changed;
    }

    /** The class at {@code index} of the active settings. */
    RequestClass requestClass(int index) {
        return settings.classes().get(index);
    }

    /** The index of the class with that name, -1 if the settings do not contain it. */
    int indexOfClass(String name) {
        List<String> names = settings.classes().stream().map(RequestClass::name).toList();
        return names.indexOf(name);
    }

    /** The longest deadline of all classes in milliseconds, 0 if there are no classes. */
    double longestDeadlineMs() {
        return Clock.toMillis(settings.classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0));
    }

    /** The drain grace period: how long connections may remain at a draining endpoint, in milliseconds. */
    double drainGraceMs() {
        return Clock.toMillis(settings.rules().drainGraceUs());
    }

    /** The time that an attempt may take to connect, in milliseconds. */
    double connectTimeoutMs() {
        return Clock.toMillis(settings.limits().connectTimeoutUs());
    }

    /** The maximum number of attempts per request. */
    int maxAttempts() {
        return settings.limits().maxAttempts();
    }

    /** The Retry-After for a rejected client: at most the maximum of the settings, 0 if they disable it. */
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

    /** Whether responses of endpoints may end with a load report. */
    boolean expectsInlineLoadReports() {
        return settings.loadReportSource() == LoadReportSource.RESPONSES;
    }
}
