package tulipshed.warmup;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleConsumer;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.limits.WarmupLimits;
import tulipshed.time.Clock;

/**
 * Runs bursts of exchanges until several consecutive ones complete in time or a timeout expires. A process is thus ready
 * only when its code is compiled and it gets the CPU time that a burst of clients needs. Confined to the thread that runs
 * it; shares no state with the node.
 */
public final class Warmup {
    private final WarmupLimits limits;
    private final Clock clock;
    private final DoubleConsumer pauseMs;
    private final Runnable burst;

    /**
     * Creates a warm-up of a node with this configuration.
     *
     * @param clock measures how long the bursts take
     */
    public Warmup(NodeConfig config, Limits limits, Clock clock) {
        this(limits.warmup(), clock, Warmup::park, burstOf(new Exchanges(config, limits), limits.warmup()));
    }

    /** Creates a warm-up that runs this burst repeatedly and calls {@code pauseMs} to wait after a burst in time. */
    Warmup(WarmupLimits limits, Clock clock, DoubleConsumer pauseMs, Runnable burst) {
        this.limits = limits;
        this.clock = clock;
        this.pauseMs = pauseMs;
        this.burst = burst;
    }

    private static Runnable burstOf(Exchanges exchanges, WarmupLimits limits) {
        return () -> exchanges.runExchanges(limits.burstExchanges());
    }

    private static void park(double ms) {
        LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(Clock.toMicros(ms)));
    }

    /** Runs the warm-up; returns whether enough consecutive bursts completed in time before the timeout. */
    public boolean run() {
        double deadlineMs = clock.nowMs() + limits.timeoutMs();
        int burstsInTime = 0;
        while (burstsInTime < limits.burstsInTime() && clock.nowMs() < deadlineMs) {
            if (runBurstMs() <= limits.targetMs()) {
                burstsInTime++;
                pauseMs.accept(limits.pauseMs());
            } else {
                burstsInTime = 0;
            }
        }
        return burstsInTime >= limits.burstsInTime();
    }

    /** Runs one burst; returns its duration in milliseconds. */
    private double runBurstMs() {
        double startMs = clock.nowMs();
        burst.run();
        return clock.nowMs() - startMs;
    }
}
