package tulipshed.proxy;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import tulipshed.decision.api.BalancerApi;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/**
 * Collects events and delivers them to the decision module in one batch, after running the expired timers; then runs the
 * deferred actions, including the decisions made during the batch. A decision therefore never takes effect before an event
 * that had already occurred. Confined to the event-loop thread.
 */
final class EventBatch {
    private final Clock clock;
    private final EventLoop loop;
    private final Logger log;
    private final TimerQueue timers = new TimerQueue();
    private final List<Event> events = new ArrayList<>();
    private final List<Runnable> deferredActions = new ArrayList<>();
    private BalancerApi balancer;
    private boolean runScheduled;

    /** An event for the decision module. */
    interface Event {
        /** Delivers the event; both arguments give the time of the batch, in milliseconds and in microseconds. */
        void deliver(BalancerApi balancer, double nowMs, long nowUs);
    }

    EventBatch(Clock clock, EventLoop loop, NodeLog log) {
        this.clock = clock;
        this.loop = loop;
        this.log = log.logger(CoreContext.LOG_SUBJECT);
    }

    /** Sets the decision module, whose constructor may already have scheduled timers, and schedules the first batch. */
    void start(BalancerApi created) {
        balancer = created;
        scheduleRun();
    }

    /** Adds an event to the next batch. */
    void add(Event event) {
        events.add(event);
        scheduleRun();
    }

    /**
     * Defers the action until the events of the batch have been delivered; one deferred by an action runs in the next batch.
     * Does not schedule a batch.
     */
    void defer(Runnable action) {
        deferredActions.add(action);
    }

    /** Schedules the task for {@code atMs} on the clock of the core; cancel the returned timer to prevent it. */
    TimerQueue.Timer schedule(double atMs, Runnable task) {
        TimerQueue.Timer timer = timers.add(atMs, task);
        scheduleRun();
        return timer;
    }

    private void scheduleRun() {
        if (!runScheduled) {
            runScheduled = true;
            loop.execute(this::run);
        }
    }

    /** Runs the expired timers, delivers all events, and then runs the deferred actions. */
    void run() {
        runScheduled = false;
        double nowMs = clock.nowMs();
        timers.runExpired(nowMs, this::runGuarded);
        deliverEvents(nowMs);
        List<Runnable> actions = List.copyOf(deferredActions);
        deferredActions.clear();
        actions.forEach(this::runGuarded);
        timers.scheduleWakeup(nowMs, loop, this::scheduleRun);
    }

    private void deliverEvents(double nowMs) {
        List<Event> batch = List.copyOf(events);
        events.clear();
        for (Event event : batch) {
            runGuarded(() -> event.deliver(balancer, nowMs, Clock.toMicros(nowMs)));
        }
    }

    /** Logs any failure of the task, even an OutOfMemoryError: other requests of the batch must still get their responses. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logFailure(e);
        }
    }

    private void logFailure(Throwable failure) {
        try {
            StackTraceElement[] trace = failure.getStackTrace();
            log.error("event handler failed: " + failure + " at " + (trace.length > 0 ? trace[0] : "unknown location"));
        } catch (Error loggingFailure) {
            // There is no memory left for the log line; the rest of the batch still runs.
        }
    }
}
