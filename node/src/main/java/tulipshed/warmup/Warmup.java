package tulipshed.warmup;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleConsumer;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.limits.WarmupLimits;
import tulipshed.time.Clock;

/**
 * Plays bursts of exchanges until some in a row are answered in time, or until the time for it is over. So a process is ready
 * once its code is compiled and it gets the processor that a burst of clients needs. Confined to the thread that runs it, and
 * shares no state with the node.
 */
public final class Warmup {
    private final WarmupLimits limits;
    private final Clock clock;
    private final DoubleConsumer pauseMs;
    private final Runnable burst;

    /**
     * A warm-up of a node with this configuration.
     *
     * @param clock measures how long the bursts take
     */
    public Warmup(NodeConfig config, Limits limits, Clock clock) {
        this(limits.warmup(), clock, Warmup::park, burstOf(new Exchanges(config, limits), limits.warmup()));
    }

    /** A warm-up that plays this burst, and waits between two bursts with {@code pauseMs}. */
    Warmup(WarmupLimits limits, Clock clock, DoubleConsumer pauseMs, Runnable burst) {
        this.limits = limits;
        this.clock = clock;
        this.pauseMs = pauseMs;
        this.burst = burst;
    }

    private static Runnable burstOf(Exchanges exchanges, WarmupLimits limits) {
        return () -> exchanges.play(limits.burstExchanges());
    }

    private static void park(double ms) {
        LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(Clock.toMicros(ms)));
    }

    /** Runs the warm-up; returns whether its bursts were answered in time in the end. */
    public boolean run() {
        double deadlineMs = clock.nowMs() + limits.timeoutMs();
        int burstsInTime = 0;
        while (burstsInTime < limits.burstsInTime() && clock.nowMs() < deadlineMs) {
            if (playBurstMs() <= limits.targetMs()) {
                burstsInTime++;
                pauseMs.accept(limits.pauseMs());
            } else {
                burstsInTime = 0;
            }
        }
        return burstsInTime >= limits.burstsInTime();
    }

    /** Plays one burst; returns how long it took. */
    private double playBurstMs() {
        double startMs = clock.nowMs();
        burst.run();
        return clock.nowMs() - startMs;
    }
}
