package tulipshed.warmup;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleConsumer;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.limits.WarmupLimits;
import tulipshed.time.Clock;

/**
 * Runs bursts of exchanges until several consecutive ones complete in time or a timeout expires. When a process becomes
 * ready, the request path is thus normally linked and compiled and the process gets the CPU time that a burst of clients
 * needs; the timeout bounds the wait. Confined to the thread that runs it; shares no state with the node.
 */
public final class Warmup {
    private final WarmupLimits limits;
    private final Clock clock;
    private final DoubleConsumer pause;
    private final Runnable burst;

    /**
     * Creates a warm-up of a node with this configuration.
     *
     * @param clock measures how long the bursts take
     */
    public Warmup(NodeConfig config, Limits limits, Clock clock) {
        this(limits.warmup(), clock, Warmup::park, burstOf(new Exchanges(config, limits), limits.warmup()));
    }

    /** Creates a warm-up that runs this burst repeatedly and calls {@code pause} to wait after a burst in time. */
    Warmup(WarmupLimits limits, Clock clock, DoubleConsumer pause, Runnable burst) {
        this.limits = limits;
        this.clock = clock;
        this.pause = pause;
        this.burst = burst;
    }

    private static Runnable burstOf(Exchanges exchanges, WarmupLimits limits) {
        return () -> exchanges.runExchanges(limits.burstExchanges());
    }

    private static void park(double ms) {
        LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(Clock.toMicros(ms)));
    }

    /**
     * Runs the warm-up; returns whether enough consecutive bursts were in time. The timeout is only checked before each
     * burst.
     */
    public boolean run() {
        double deadlineMs = clock.nowMs() + limits.timeoutMs();
        int consecutiveInTime = 0;
        while (consecutiveInTime < limits.burstsInTime() && clock.nowMs() < deadlineMs) {
            if (measureBurstMs() <= limits.targetMs()) {
                consecutiveInTime++;
                pause.accept(limits.pauseMs());
            } else {
                consecutiveInTime = 0;
            }
        }
        return consecutiveInTime >= limits.burstsInTime();
    }

    /** Runs one burst; returns its duration in milliseconds. */
    private double measureBurstMs() {
        double startMs = clock.nowMs();
        burst.run();
        return clock.nowMs() - startMs;
    }
}
