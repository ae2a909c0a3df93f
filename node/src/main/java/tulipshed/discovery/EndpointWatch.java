package tulipshed.discovery;

import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import org.jboss.logging.Logger;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.proxy.EndpointListSource;
import tulipshed.proxy.EventLoop;
import tulipshed.proxy.ProxyCore;
import tulipshed.time.Clock;
import tulipshed.transport.XnioEventLoop;

/**
 * Watches discovery's endpoint list by long polling: each call waits for changes, and the next call follows its
 * response.
 *
 * <p>A failed call is retried at once if {@link ImmediateRetries} allows it. Any other failure ends the watch and is
 * reported to the core as a failed list; the decision module then decides when to call again. A failure of discovery
 * itself is not reported while a request of the decision module is expected that will retry the call. An agent is
 * called again after {@code agentRetryDelayMs} in any case. After a failure, the wait of a call becomes shorter as the
 * time since the last list grows, and the decision module calls again in time for a change to be known within 6 s of it.
 * So two calls of an established watch may fail in a row, in any way; after an outage, at the start or around a change
 * of the address it may take longer. The timeouts of calls adapt to a server that responds late ({@link
 * ResponseTimeouts}). Confined to the event-loop thread.
 */
public final class EndpointWatch implements EndpointListSource {
    static final String LOG_SUBJECT = "discovery";

    private final Limits limits;
    private final EndpointListListener listener;
    private final Logger log;
    private final DiscoveryCalls client;
    private final EndpointListCursor cursor = new EndpointListCursor();
    private final KnownEndpointList knownList = new KnownEndpointList();
    private final ImmediateRetries retries = new ImmediateRetries();
    private final WatchRequests watchRequests = new WatchRequests();
    private final DelayedCall delayedCall;
    private final EndpointStartTimes startTimes;
    private final CallTimes times;
    private final ResponseTimeouts timeouts;
    private DeliveryMode mode = DeliveryMode.POLLED;
    private Health health = Health.UNCONFIRMED;

    /** Whether the call in progress requests the initial list. */
    private boolean isInitialCall;

    /** Whether the call in progress is a catch-up that replaced a long poll of a watch without failures. */
    private boolean replacedLongPoll;

    /** Whether the call in progress is the first to another address of discovery. */
    private boolean isFirstCallToAddress;

    private boolean stopped;

    /** Result of the last call. */
    private enum Health {
        /** No call has succeeded since the start or since the watch was reopened. */
        UNCONFIRMED,
        WATCHING,
        FAILING
    }

    /**
     * Creates a watch that makes no call before {@link #watch} and first requests the changes since version 0.
     *
     * @param discovery the address of discovery, or of its agent on the node's machine
     * @param clock the monotonic clock of the core
     */
    public EndpointWatch(
            InetSocketAddress discovery, Limits limits, XnioEventLoop loop, ProxyCore core, Clock clock, NodeLog log) {
        this(
                listener -> new DiscoveryClient(discovery, limits, loop, clock, log.logger(LOG_SUBJECT), listener),
                limits,
                loop,
                core::endpointsChanged,
                clock,
                log);
    }

    /** Creates a watch whose calls are made by the result of {@code calls} for the listener of the calls. */
    EndpointWatch(
            Function<DiscoveryCalls.Listener, DiscoveryCalls> calls,
            Limits limits,
            EventLoop loop,
            EndpointListListener listener,
            Clock clock,
            NodeLog log) {
        this.limits = limits;
        this.listener = listener;
        delayedCall = new DelayedCall(loop);
        this.log = log.logger(LOG_SUBJECT);
        startTimes = new EndpointStartTimes(clock);
        times = new CallTimes(clock);
        timeouts = new ResponseTimeouts(limits.discovery(), this.log);
        client = calls.apply(new CallListener());
    }

    /** Passes the cached list to the core and continues from its version; must precede the first call. */
    public void startFromCachedList(EndpointListUpdate cached) {
        cursor.advance(cached);
        knownList.apply(cached, false);
        notifyCore(EndpointListKind.CACHED, cached);
    }

    /**
     * Uses the list of the other process of this node if it is newer, and continues from its version.
     *
     * @return whether the list is used
     */
    boolean adopt(SharedEndpointList peerList) {
        if (!knownList.isOlderThan(peerList, client.address())) {
            return false;
        }
        cursor.advanceToPeer(peerList.list().version());
        knownList.apply(peerList.list(), peerList.isReceived());
        notifyCore(EndpointListKind.CACHED, peerList.list());
        if (!peerList.isFrom(client.address())) {
            requestFullListAgain();
        }
        return true;
    }

    /** Replaces a call in progress, whose response may contain the changes to another list than the known one. */
    private void requestFullListAgain() {
        cursor.requireFullList();
        if (client.isCallInProgress()) {
            client.close();
            callUnlessInProgress(false);
        }
    }

    /** A number that increases with each change of the known list; 0 if there is no list. */
    long listRevision() {
        return knownList.revision();
    }

    /** The known list, for the other process of this node. */
    byte[] sharedListDocument() {
        return SharedEndpointListFormat.write(knownList.toShared(client.address()));
    }

    /** Starts a call unless one is in progress or the watch has stopped; called by the decision module. */
    @Override
    public void watch() {
        watchRequests.requestReceived();
        callUnlessInProgress(true);
    }

    /**
     * Sets whether lists are pushed to an agent on the node's machine. A change counts as known to the node once its
     * agent has it, so the agent is polled without a request by the decision module, and again soon after each failure.
     * If discovery itself is polled, the decision module decides when to call again after a failure.
     */
    public void setPushed(boolean pushed) {
        DeliveryMode changed = pushed ? DeliveryMode.PUSHED_TO_AGENT : DeliveryMode.POLLED;
        if (changed != mode) {
            mode = changed;
            watchRequests.clearExpectedRequests();
        }
        if (pushed) {
            callUnlessInProgress(false);
        }
    }

    /**
     * Requests all changes so far without waiting for further ones, as this process must apply every list that another
     * process of the node has received. Abandons a long poll in progress.
     */
    public void catchUp() {
        cursor.requireCatchUp();
        if (client.isCallInProgress() && client.isLastRequestLongPoll()) {
            client.close();
            replacedLongPoll = health == Health.WATCHING;
        }
        callUnlessInProgress(false);
    }

    /**
     * Requests all changes since the cached list, before the node accepts clients. Many nodes may do so at the same
     * time, and discovery handles their requests one after the other, so this call may take longer than others.
     */
    public void requestInitialList() {
        isInitialCall = true;
        times.restartListTimer();
        catchUp();
    }

    /** Whether a call has started and not ended. */
    public boolean isCallInProgress() {
        return client.isCallInProgress();
    }

    /** Whether a connection is open or being opened. */
    public boolean isConnected() {
        return client.hasConnection();
    }

    /** Closes the connection and makes no further call; called when the node shuts down. */
    public void stop() {
        stopped = true;
        client.close();
    }

    /**
     * Changes the address of discovery. A call to the old address is abandoned without a notification. As version
     * numbers of the new server may differ, the full list is requested from it at once, so that its changes are known
     * to the node soon after the address has changed. Does nothing if the address is unchanged.
     */
    public void setDiscoveryAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(client.address())) {
            isInitialCall = false;
            replacedLongPoll = false;
            isFirstCallToAddress = true;
            client.setAddress(newAddress);
            cursor.requireFullList();
            callUnlessInProgress(false);
        }
    }

    private void callUnlessInProgress(boolean requested) {
        if (!client.isCallInProgress() && !stopped) {
            startCall(longPollMs(), requested);
        }
    }

    private void startCall(double longPollMs, boolean requested) {
        delayedCall.cancel();
        watchRequests.callStarted(requested);
        ListRequest request = cursor.nextRequest(longPollMs);
        times.callStarted(request.waitMs());
        client.call(request);
    }

    /**
     * If discovery itself is polled, the 6 s limit leaves less time to wait after a failure as the time since the last
     * list grows.
     */
    private double longPollMs() {
        double waitMs = timeouts.longPollMs(mode);
        return mode == DeliveryMode.POLLED && health != Health.WATCHING ? times.remainingMs(waitMs) : waitMs;
    }

    /** Starts a call after a delay, unless another call starts before; at most one call is scheduled. */
    private void startCallAfter(double delayMs) {
        delayedCall.schedule(delayMs, () -> {
            if (!stopped) {
                // If discovery itself is polled, the 6 s limit leaves no time for a delay, so the wait is reduced by
                // it.
                double reductionMs = mode == DeliveryMode.POLLED ? delayMs : 0;
                startCall(Math.max(0, timeouts.longPollMs(mode) - reductionMs), false);
            }
        });
    }

    private void responseReceived(int status, byte[] body) {
        if (status != HttpURLConnection.HTTP_OK) {
            client.close();
            callFailed(CallFailure.errorStatus(status));
            return;
        }
        EndpointListUpdate update;
        try {
            update = EndpointListUpdate.read(JsonValues.object(body));
        } catch (MalformedInputException e) {
            client.close();
            callFailed(CallFailure.malformedList(e));
            return;
        }
        apply(update);
    }

    private void apply(EndpointListUpdate update) {
        callEnded();
        if (health != Health.WATCHING) {
            log.info("watching endpoint list from version " + update.version());
        }
        health = Health.WATCHING;
        times.restartListTimer();
        retries.reset();
        boolean nothingChanged = update.entries().isEmpty() || update.version() == cursor.version();
        boolean mayHaveEndedWait = update.version() != cursor.version();
        timeouts.responseReceived(mode, times.requestedWaitMs(), times.callDurationMs(), mayHaveEndedWait);
        if (log.isTraceEnabled()) {
            log.trace(update.traceText());
        }
        if (cursor.isSuperseded(update)) {
            callUnlessInProgress(false);
            return;
        }
        cursor.advance(update);
        knownList.apply(update, true);
        notifyCore(update.full() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, update);
        if (nothingChanged && (mode == DeliveryMode.PUSHED_TO_AGENT || isImmediateResponse())) {
            startCallAfter(limits.discovery().agentPollIntervalMs());
        } else {
            callUnlessInProgress(false);
        }
    }

    private void callEnded() {
        isInitialCall = false;
        isFirstCallToAddress = false;
        replacedLongPoll = false;
    }

    /**
     * Whether the response to a long poll arrived sooner than the poll interval. Agents, and a discovery that cannot
     * hold calls, may respond at once although nothing has changed.
     */
    private boolean isImmediateResponse() {
        return client.isLastRequestLongPoll()
                && times.callDurationMs() < limits.discovery().agentPollIntervalMs();
    }

    private void notifyCore(EndpointListKind kind, EndpointListUpdate update) {
        listener.endpointsChanged(kind, startTimes.translate(kind, update.entries()));
    }

    private void callFailed(CallFailure failure) {
        if (failure.isResponseMissing()) {
            timeouts.responseMissed(mode, client.isLastRequestLongPoll());
        }
        if (failure.isResponseTimeout()) {
            cursor.requireCatchUp();
        }
        boolean isRetried = mode == DeliveryMode.POLLED && !isInitialCall && isRetriedAtOnce(failure);
        callEnded();
        if (isRetried) {
            retryAtOnce(failure);
        } else {
            reportFailure(failure);
        }
    }

    private boolean isRetriedAtOnce(CallFailure failure) {
        return retries.permits(failure, client.isLastRequestLongPoll() || replacedLongPoll);
    }

    /**
     * Retries at once without waiting for changes, as changes that the late response would have reported may be seconds
     * old. This does not synchronize the calls of the nodes, as each started its watch at a different time.
     */
    private void retryAtOnce(CallFailure failure) {
        log.warn("reopening watch: " + failure.logText());
        retries.increment();
        if (health == Health.WATCHING) {
            health = Health.UNCONFIRMED;
        }
        catchUp();
    }

    private void reportFailure(CallFailure failure) {
        retries.reset();
        // An agent is polled so often that logging each failure of an outage would flood the log.
        if (mode == DeliveryMode.POLLED || health != Health.FAILING) {
            log.warn("call failed: " + failure.logText());
        }
        health = Health.FAILING;
        if (mode == DeliveryMode.PUSHED_TO_AGENT) {
            startCallAfter(limits.discovery().agentRetryDelayMs());
        } else if (watchRequests.willRetryLastCall()) {
            // If this failure were reported, each call started by a reload in an outage would lead to a series of
            // further calls.
            return;
        } else {
            watchRequests.failureReported();
        }
        listener.endpointsChanged(EndpointListKind.FAILED, List.of());
    }

    /** Private implementation of the listener, so that its methods are not public on the watch. */
    private final class CallListener implements DiscoveryCalls.Listener {
        @Override
        public void onResponse(int status, byte[] body) {
            responseReceived(status, body);
        }

        @Override
        public void onCallFailed(CallFailure failure) {
            callFailed(failure);
        }

        @Override
        public double responseTimeoutMs() {
            if (isInitialCall) {
                return limits.discovery().startTimeoutMs();
            }
            // The list of another address has to be known soon after the reload, so its first response may be late.
            return isFirstCallToAddress ? timeouts.lateTimeoutMs(mode) : timeouts.timeoutMs(mode);
        }
    }
}
