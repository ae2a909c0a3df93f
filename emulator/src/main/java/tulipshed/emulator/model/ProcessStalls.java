package tulipshed.emulator.model;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Moments at which a node is held up between reading its clock and writing: a turn that writes begins when the clock was
 * read, what it writes goes out at its end, and what arrives in between waits for it. Two of them never follow on each
 * other within a second, as a limit has to allow for one.
 */
final class ProcessStalls {
    /** How long a turn may take. */
    static final double LONGEST_MS = 150;

    private static final double LEAST_BETWEEN_MS = 1000;

    private final UniformRandomProvider random;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private double heldUntilMs;
    private double nextMs;
    private double overMs;

    ProcessStalls(UniformRandomProvider random) {
        this.random = random;
    }

    /** The node is held up now and then for so long. */
    void begin(double nowMs, double forMs) {
        nextMs = nowMs + betweenMs();
        overMs = nowMs + forMs;
    }

    /** Until when an answer may be late because the node was held up. */
    double excusesUntilMs() {
        return overMs + LONGEST_MS;
    }

    private double betweenMs() {
        return LEAST_BETWEEN_MS * random.nextDouble();
    }

    /** Whether a turn that is about to write is held up from now on. */
    boolean strikes(double nowMs) {
        if (nowMs >= overMs || nowMs < nextMs || isHeld(nowMs)) {
            return false;
        }
        heldUntilMs = nowMs + LONGEST_MS * random.nextDouble();
        nextMs = heldUntilMs + LEAST_BETWEEN_MS + betweenMs();
        return true;
    }

    /** When what is written now goes out. */
    double writtenMs(double nowMs) {
        return Math.max(nowMs, heldUntilMs);
    }

    boolean isHeld(double nowMs) {
        return nowMs < heldUntilMs;
    }

    /** A turn that has to wait for the present one. */
    void waits(Runnable turn) {
        waiting.addLast(turn);
    }

    /** One that is taken before all others: the end of a client is seen before anything is written for it. */
    void waitsFirst(Runnable turn) {
        waiting.addFirst(turn);
    }

    /** Runs what has waited, each turn settled before the next, as far as none is held up in its own right. */
    void resume(double nowMs, Runnable settle) {
        while (!isHeld(nowMs) && !waiting.isEmpty()) {
            waiting.removeFirst().run();
            settle.run();
        }
    }

    /** The process has ended; what waited for it is lost. */
    void end() {
        waiting.clear();
        heldUntilMs = 0;
    }
}
