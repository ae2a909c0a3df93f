package tulipshed.proxy;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import tulipshed.decision.BalancerApi;
import tulipshed.logging.NodeLog;
import tulipshed.time.Clock;

/** Gathers what happens, hands all of it to the module in one turn, and then carries out what the module decided. */
final class EventBatch {
    private final Clock clock;
    private final EventLoop loop;
    private final Logger log;
    private final TimerQueue dues = new TimerQueue();
    private final List<Event> gathered = new ArrayList<>();
    private final List<Runnable> decided = new ArrayList<>();
    private BalancerApi module;
    private boolean ahead;

    /** Something for the module. */
    interface Event {
        void tell(BalancerApi module, double nowMs, long nowUs);
    }

    EventBatch(Clock clock, EventLoop loop, NodeLog log) {
        this.clock = clock;
        this.loop = loop;
        this.log = log.logger("core");
    }

    /** The module may have asked for timers already, before anything was gathered. */
    void begin(BalancerApi made) {
        module = made;
        wake();
    }

    void add(Event event) {
        gathered.add(event);
        wake();
    }

    /** To be carried out once all that was gathered has been handed over. */
    void defer(Runnable action) {
        decided.add(action);
    }

    /** To be looked at then, unless it is dropped before. */
    TimerQueue.Timer schedule(double atMs, Runnable what) {
        TimerQueue.Timer due = dues.add(atMs, what);
        wake();
        return due;
    }

    private void wake() {
        if (!ahead) {
            ahead = true;
            loop.execute(this::run);
        }
    }

    /** Hands all that was gathered to the module, then carries out what it decided. */
    void run() {
        ahead = false;
        double nowMs = clock.nowMs();
        dues.run(nowMs, this::guarded);
        List<Event> events = List.copyOf(gathered);
        gathered.clear();
        for (Event e : events) {
            guarded(() -> e.tell(module, nowMs, Clock.toMicros(nowMs)));
        }
        List<Runnable> actions = List.copyOf(decided);
        decided.clear();
        actions.forEach(this::guarded);
        dues.arm(nowMs, loop, this::wake);
    }

    /** One event that cannot be dealt with must not cost the others their answers. */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.error("event handler failed: " + e + " at " + (trace.length > 0 ? trace[0] : "unknown location"));
        }
    }
}
