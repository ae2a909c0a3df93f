package tulipshed.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tulipshed.limits.DiscoveryLimits;

/**
 * A discovery whose list changes now and then and whose calls fail by chance, on a stepped clock. At most two calls in a row
 * fail by themselves; in an outage each one does. For one thread.
 */
final class FaultyDiscovery implements DiscoveryCalls {
    /** How often in a row a call may fail outside an outage. */
    private static final int MAX_CONSECUTIVE_FAULTS = 2;

    private static final double FAULT_PROBABILITY = 0.3;
    private static final double MAX_LATENCY_MS = 40;
    private static final Pattern INDEX = Pattern.compile("index=([0-9]+)");
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final SteppedLoop loop;
    private final DiscoveryLimits limits;
    private final SplittableRandom random;
    private final List<Fault> allowed;
    private final List<Double> changesMs = new ArrayList<>();
    private final List<Outage> outages = new ArrayList<>();
    private final List<String> history = new ArrayList<>();
    private Listener listener;
    private InetSocketAddress address = InetSocketAddress.createUnresolved("discovery", 1);
    private ListRequest request;
    private boolean inProgress;

    /** What the call in progress does at the next change; null where it does not wait for one. */
    private Runnable atChange;

    private long callCount;
    private int consecutiveFaults;

    /** How a call fails. */
    enum Fault {
        /** No byte of the response arrives. */
        SILENT,
        /** The response begins in time and is never complete. */
        INCOMPLETE,
        /** The connection is reset while the call waits. */
        RESET,
        /** The call is refused as soon as it arrives. */
        REFUSED,
        /** The call is refused after it has waited for its turn. */
        REFUSED_LATE,
        /** The call is answered after it has waited for its turn. */
        SLOW
    }

    /** A time in which no call gets through: connections are refused, or hang. */
    record Outage(double fromMs, double untilMs, boolean isHanging) {}

    FaultyDiscovery(SteppedLoop loop, DiscoveryLimits limits, SplittableRandom random, List<Fault> allowed) {
        this.loop = loop;
        this.limits = limits;
        this.random = random;
        this.allowed = allowed;
    }

    /** Sets who is notified of the end of each call. */
    DiscoveryCalls notifying(Listener callListener) {
        listener = callListener;
        return this;
    }

    /** The list changes at a moment. */
    void changeAt(double atMs) {
        loop.schedule(atMs - loop.nowMs(), () -> {
            changesMs.add(atMs);
            endWait();
        });
    }

    /** No call gets through for some time; one that is in progress ends with a reset, or stays silent and counts as a fault. */
    void addOutage(Outage outage) {
        outages.add(outage);
        loop.schedule(outage.fromMs() - loop.nowMs(), () -> {
            if (inProgress && !outage.isHanging()) {
                fail(CallFailure.CONNECTION_LOST);
            } else if (inProgress) {
                long call = ++callCount;
                atChange = null;
                consecutiveFaults++;
                later(call, request.waitMs() + listener.responseTimeoutMs(), () -> fail(CallFailure.NO_RESPONSE));
            }
        });
    }

    /** When a node counts as notified of a change, in milliseconds: 6 s after discovery had it and could be reached. */
    double dueMs(double changedMs, double allowedMs) {
        double dueMs = changedMs + allowedMs;
        for (Outage outage : outages) {
            if (outage.fromMs() <= dueMs && outage.untilMs() >= changedMs) {
                dueMs = Math.max(dueMs, outage.untilMs() + allowedMs);
            }
        }
        return dueMs;
    }

    List<Double> changesMs() {
        return changesMs;
    }

    /** The calls and how they ended, for messages. */
    List<String> history() {
        return history;
    }

    private Outage outage() {
        return outages.stream()
                .filter(o -> o.fromMs() <= loop.nowMs() && loop.nowMs() < o.untilMs())
                .findFirst()
                .orElse(null);
    }

    @Override
    public void call(ListRequest newRequest) {
        request = newRequest;
        inProgress = true;
        atChange = null;
        long call = ++callCount;
        Outage outage = outage();
        boolean faulty = consecutiveFaults < MAX_CONSECUTIVE_FAULTS && random.nextDouble() < FAULT_PROBABILITY;
        if (outage != null && outage.isHanging()) {
            later(call, limits.connectTimeoutMs(), () -> fail(CallFailure.CONNECT_TIMEOUT));
        } else if (outage != null) {
            later(call, latencyMs(), () -> fail(CallFailure.connectFailed(new IOException("refused"))));
        } else if (faulty) {
            consecutiveFaults++;
            begin(call, allowed.get(random.nextInt(allowed.size())));
        } else {
            consecutiveFaults = 0;
            later(call, latencyMs(), () -> awaitChange(call, this::respond));
        }
    }

    private void begin(long call, Fault fault) {
        history.add(String.format("%.0f %s", loop.nowMs(), fault));
        switch (fault) {
            case SILENT ->
                later(call, request.waitMs() + listener.responseTimeoutMs(), () -> fail(CallFailure.NO_RESPONSE));
            case INCOMPLETE -> later(call, latencyMs(), () -> awaitChange(call, () -> stall(call)));
            case RESET ->
                later(
                        call,
                        latencyMs() + random.nextDouble() * request.waitMs(),
                        () -> fail(CallFailure.CONNECTION_LOST));
            case REFUSED -> later(call, latencyMs(), () -> complete(UNAVAILABLE, ""));
            case REFUSED_LATE ->
                later(call, random.nextDouble() * limits.watchTimeoutMs(), () -> complete(UNAVAILABLE, ""));
            case SLOW ->
                later(call, random.nextDouble() * limits.watchTimeoutMs(), () -> awaitChange(call, this::respond));
            default -> throw new IllegalStateException();
        }
    }

    /** Acts once the list is newer than that of the request, or the wait is over. */
    private void awaitChange(long call, Runnable action) {
        if (isNewer() || request.waitMs() == 0) {
            action.run();
            return;
        }
        atChange = action;
        later(call, request.waitMs(), this::endWait);
    }

    private void endWait() {
        Runnable action = atChange;
        atChange = null;
        if (inProgress && action != null) {
            action.run();
        }
    }

    /** The response has begun and does not go on. */
    private void stall(long call) {
        later(call, limits.responseTimeoutMs(), () -> fail(CallFailure.INCOMPLETE_RESPONSE));
    }

    private boolean isNewer() {
        Matcher index = INDEX.matcher(request.target());
        return !index.find() || Integer.parseInt(index.group(1)) < changesMs.size();
    }

    private void respond() {
        complete(
                OK,
                "{\"version\":" + changesMs.size() + ",\"full\":"
                        + !request.target().contains("index=") + ",\"servers\":[]}");
    }

    private double latencyMs() {
        return random.nextDouble() * MAX_LATENCY_MS;
    }

    private void later(long call, double delayMs, Runnable action) {
        loop.schedule(delayMs, () -> {
            if (inProgress && call == callCount) {
                action.run();
            }
        });
    }

    private void complete(int status, String body) {
        history.add(String.format("%.0f status %d", loop.nowMs(), status));
        inProgress = false;
        listener.onResponse(status, body.getBytes(StandardCharsets.US_ASCII));
    }

    private void fail(CallFailure failure) {
        history.add(String.format("%.0f %s", loop.nowMs(), failure.logText()));
        inProgress = false;
        listener.onCallFailed(failure);
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
    public boolean isConnected() {
        return inProgress;
    }

    @Override
    public boolean isCallInProgress() {
        return inProgress;
    }

    @Override
    public boolean isLastRequestLongPoll() {
        return request.isLongPoll();
    }

    @Override
    public void close() {
        inProgress = false;
    }
}
