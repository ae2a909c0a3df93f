package tulipshed.emulator.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * A conservative parallel discrete-event simulation. Virtual time advances in windows as long as the shortest delay of a
 * message between two actors: nothing that happens within a window can reach another actor before the window ends, so the
 * actors of a window run at the same time. What each actor receives, and in which order, does not depend on the number of
 * threads (docs/emulator-design.md).
 */
public final class Engine {
    /** Sums of times are rounded; a message sent at the edge of a window must not be delivered within it. */
    private static final double WINDOW_MARGIN = 1e-3;

    private final Shard[] shards;
    private final double windowMs;
    private final List<Actor<?>> actors = new ArrayList<>();

    /**
     * Creates an engine without actors.
     *
     * @param threads the number of threads to run on, at least 1
     * @param windowMs the shortest delay of a message between two actors in milliseconds, above 0
     * @throws IllegalArgumentException if either is out of range
     */
    public Engine(int threads, double windowMs) {
        if (threads < 1 || !(windowMs > 0)) {
            throw new IllegalArgumentException(threads + " threads, a window of " + windowMs + " ms");
        }
        this.windowMs = windowMs * (1 - WINDOW_MARGIN);
        shards = new Shard[threads];
        for (int i = 0; i < threads; i++) {
            shards[i] = new Shard(i, threads, this.windowMs);
        }
    }

    /** The number of threads that it runs on. */
    public int threads() {
        return shards.length;
    }

    /** Adds an actor. All actors are added before the first run. */
    public void add(Actor<?> actor) {
        // Mixed, as consecutive numbers belong to actors of one type, which would share a shard.
        int mixed = Integer.hashCode(actor.id() * 0x9E3779B9) >>> 8;
        actor.assignTo(shards[Math.floorMod(mixed, shards.length)]);
        actors.add(actor);
    }

    /**
     * Delivers all messages that are due before a time.
     *
     * @param untilMs virtual time in milliseconds
     */
    public void run(double untilMs) {
        long endWindow = (long) Math.ceil(untilMs / windowMs);
        if (shards.length == 1) {
            runOnThisThread(endWindow);
        } else {
            new ParallelRun(shards, endWindow).run();
        }
    }

    private void runOnThisThread(long endWindow) {
        Shard shard = shards[0];
        shard.collect(shards);
        for (long window = shard.nextWindow(); window < endWindow; window = shard.nextWindow()) {
            shard.run(window);
        }
    }

    /** The number of messages delivered so far. */
    public long handled() {
        long sum = 0;
        for (Shard shard : shards) {
            sum += shard.handled();
        }
        return sum;
    }

    /** A hash that differs, but for collisions, where any actor received other messages or another order of them. */
    public long trace() {
        long sum = 0;
        for (Actor<?> actor : actors) {
            sum += actor.trace() * (2L * actor.id() + 1);
        }
        return sum;
    }
}
