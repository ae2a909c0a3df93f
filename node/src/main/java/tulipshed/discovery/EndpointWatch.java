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
 * Watches discovery's endpoint list by long polling: each call waits for changes, and the next call follows its response.
 *
 * <p>A failed call is repeated at once where {@link ImmediateRepeats} says so. Any other ends the watch and is passed to the
 * core as a failed list; the decision module says when to call again. The longer the last response is ago, the shorter a
 * call waits for changes. So two late responses to a long poll and its repeat still leave the change known within 6 s; other
 * failures in a row may not. Confined to the event-loop thread.
 */
public final class EndpointWatch implements EndpointListSource {
    private static final String LOG_SUBJECT = "discovery";

    private final Limits limits;
    private final EndpointListListener listener;
    private final Logger log;
    private final DiscoveryCalls client;
    private final EndpointListCursor cursor = new EndpointListCursor();
    private final ImmediateRepeats repeats = new ImmediateRepeats();
    private final CallPrompts prompts = new CallPrompts();
    private final DelayedCall delayedCall;
    private final EndpointStartTimes startTimes;
    private final CallTimes times;
    private DeliveryMode mode = DeliveryMode.POLLED;
    private Health health = Health.UNCONFIRMED;

    /** Whether the call in progress is the one for the initial list. */
    private boolean isInitialCall;

    /** Whether the call in progress replaced a long poll in order to catch up, with no failure before it. */
    private boolean isLongPollReplaced;

    private boolean stopped;

    /** What the last call showed. */
    private enum Health {
        /** No call has succeeded since the start or since the watch was reopened. */
        UNCONFIRMED,
        WATCHING,
        FAILING
    }

    /**
     * A watch that makes no call before {@link #watch}, and at first asks for what discovery has since version 0.
     *
     * @param discovery the address of discovery, or of its agent on the node's machine
     * @param clock the clock of the core
     */
    public EndpointWatch(
            InetSocketAddress discovery, Limits limits, XnioEventLoop loop, ProxyCore core, Clock clock, NodeLog log) {
        this(
                listener -> new DiscoveryClient(discovery, limits, loop, log.logger(LOG_SUBJECT), listener),
                limits,
                loop,
                core::endpointsChanged,
                clock,
                log);
    }

    /** A watch whose calls are made by what the function returns for the listener of the calls. */
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
        client = calls.apply(new CallListener());
    }

    /** Passes the list that the node has already to the core, and goes on from its version; before the first call. */
    public void startFromCachedList(EndpointListUpdate cached) {
        cursor.advance(cached);
        notifyCore(EndpointListKind.CACHED, cached);
    }

    /** Starts a call unless one is in progress or the watch has stopped; the decision module calls this. */
    @Override
    public void watch() {
        prompts.arrived();
        callUnlessInProgress(true);
    }

    /**
     * Sets whether lists are pushed to an agent on the node's machine. What the agent has counts as known to the node, so
     * the agent is polled without a prompt, and again soon after each failure. Where discovery itself is polled, the
     * decision module says when.
     */
    public void setPushed(boolean toAgent) {
        DeliveryMode changed = toAgent ? DeliveryMode.PUSHED_TO_AGENT : DeliveryMode.POLLED;
        if (changed != mode) {
            mode = changed;
            prompts.forget();
        }
        if (toAgent) {
            callUnlessInProgress(false);
        }
    }

    /**
     * Requests all changes so far at once, without waiting for further ones, as a list that another process of the node
     * received is binding for this one. Abandons a call in progress that waits for changes.
     */
    public void catchUp() {
        cursor.requireCatchUp();
        if (client.isCallInProgress() && client.isLastRequestLongPoll()) {
            client.close();
            isLongPollReplaced = health == Health.WATCHING;
        }
        callUnlessInProgress(false);
    }

    /**
     * Requests all changes since the cached list, before the node accepts clients. Many nodes may do so at one moment, and
     * discovery answers them in turn, so this call may take longer than others.
     */
    public void requestInitialList() {
        isInitialCall = true;
        times.listArrived();
        catchUp();
    }

    /** Whether a call has started and not ended. */
    public boolean isCallInProgress() {
        return client.isCallInProgress();
    }

    /** Whether it holds a connection, or is opening one. */
    public boolean isConnected() {
        return client.isConnected();
    }

    /** Closes the connection and makes no further call; for the end of the node. */
    public void stop() {
        stopped = true;
        client.close();
    }

    /**
     * Changes the address of discovery. A call to the old address is abandoned without a notification. As the new address
     * may count its versions differently, the full list is requested from it at once: its changes count as known to the
     * node soon after the address changed. Does nothing where the address is the same.
     */
    public void setDiscoveryAddress(InetSocketAddress to) {
        if (!to.equals(client.address())) {
            isInitialCall = false;
            isLongPollReplaced = false;
            client.setAddress(to);
            cursor.requireFullList();
            callUnlessInProgress(false);
        }
    }

    private void callUnlessInProgress(boolean prompted) {
        if (!client.isCallInProgress() && !stopped) {
            startCall(longPollMs(), prompted);
        }
    }

    private void startCall(double longPollMs, boolean prompted) {
        delayedCall.cancel();
        prompts.callStarts(prompted);
        times.callStarts();
        client.call(cursor.nextRequest(longPollMs));
    }

    /** Where discovery itself is polled, the 6 s leave less time to wait the longer the last response is ago. */
    private double longPollMs() {
        double waitMs = mode.longPollMs(limits.discovery());
        return mode == DeliveryMode.POLLED && health != Health.WATCHING ? times.remainingMs(waitMs) : waitMs;
    }

    /** Starts a call after a delay, unless one starts before; there is never more than one call to come. */
    private void startCallAfter(double delayMs) {
        delayedCall.schedule(delayMs, () -> {
            if (!stopped) {
                // The 6 s leave no room for a delay where discovery itself is polled, so the wait is shorter by it.
                double shorterMs = mode == DeliveryMode.POLLED ? delayMs : 0;
                startCall(mode.longPollMs(limits.discovery()) - shorterMs, false);
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
        isInitialCall = false;
        isLongPollReplaced = false;
        if (health != Health.WATCHING) {
            log.info("watching endpoint list from version " + update.version());
        }
        health = Health.WATCHING;
        times.listArrived();
        repeats.reset();
        boolean nothingChanged = update.entries().isEmpty() || update.version() == cursor.version();
        if (log.isTraceEnabled()) {
            log.trace(update.traceText());
        }
        cursor.advance(update);
        notifyCore(update.full() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, update);
        if (nothingChanged && (mode == DeliveryMode.PUSHED_TO_AGENT || isAnsweredAtOnce())) {
            startCallAfter(limits.discovery().agentPollIntervalMs());
        } else {
            callUnlessInProgress(false);
        }
    }

    /**
     * Whether the response to a long poll came before there was time to wait for a change. Agents, and a discovery that
     * cannot hold calls, may respond so although nothing changed.
     */
    private boolean isAnsweredAtOnce() {
        return client.isLastRequestLongPoll()
                && times.lastedMs() < limits.discovery().agentPollIntervalMs();
    }

    private void notifyCore(EndpointListKind kind, EndpointListUpdate update) {
        listener.endpointsChanged(kind, startTimes.translate(kind, update.entries()));
    }

    private void callFailed(CallFailure failure) {
        boolean isRepeated = mode == DeliveryMode.POLLED && !isInitialCall && isRepeatedAtOnce(failure);
        isInitialCall = false;
        isLongPollReplaced = false;
        if (isRepeated) {
            reopen(failure);
        } else {
            fail(failure);
        }
    }

    private boolean isRepeatedAtOnce(CallFailure failure) {
        return repeats.permits(failure, client.isLastRequestLongPoll() || isLongPollReplaced);
    }

    /**
     * Calls again at once, without waiting for changes: those that the late response would have reported may be seconds
     * old. Nodes do not call in a herd by this, as each began its watch at a time of its own.
     */
    private void reopen(CallFailure failure) {
        log.warn("reopening watch: " + failure.logText());
        repeats.increment();
        if (health == Health.WATCHING) {
            health = Health.UNCONFIRMED;
        }
        catchUp();
    }

    private void fail(CallFailure failure) {
        repeats.reset();
        // An agent is polled so often that each failure of an outage would be a line.
        if (mode == DeliveryMode.POLLED || health != Health.FAILING) {
            log.warn("call failed: " + failure.logText());
        }
        health = Health.FAILING;
        if (mode == DeliveryMode.PUSHED_TO_AGENT) {
            startCallAfter(limits.discovery().agentRetryDelayMs());
        } else if (prompts.willRepeatLastCall()) {
            // With a notification here, each call that a reload started in an outage would lead to a series of calls.
            return;
        } else {
            prompts.failureReported();
        }
        listener.endpointsChanged(EndpointListKind.FAILED, List.of());
    }

    /** Keeps the notifications of the client out of the public interface. */
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
            return isInitialCall ? limits.discovery().startTimeoutMs() : mode.responseTimeoutMs(limits.discovery());
        }
    }
}
