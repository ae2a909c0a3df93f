package tulipshed.emulator.acceptance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import tulipshed.emulator.model.Outcome;
import tulipshed.emulator.model.World;
import tulipshed.emulator.scenario.Overrides;

/** Plays days and judges them. What comes of each depends on its kind, seed and size alone. */
public final class Gate {
    private static final String SEES_LATE = "sees-late-1000";
    private static final String PLAINEST = "random";

    private final DayDraw.Size size;
    private final String policy;
    private final Map<String, String> set;
    private final DayDraw.Beside beside;

    /**
     * A gate for nodes whose decisions are those of a policy.
     *
     * @param set figures that replace those of the days, by path
     */
    public Gate(DayDraw.Size size, String policy, Map<String, String> set) {
        this(size, DayDraw.Beside.NOTHING, policy, set);
    }

    /** A gate of days with more beside what is drawn. */
    public Gate(DayDraw.Size size, DayDraw.Beside beside, String policy, Map<String, String> set) {
        this.size = size;
        this.beside = beside;
        this.policy = policy;
        this.set = set;
    }

    /** Plays one day three times: by the node, by one who sees true states late, and by the plainest. */
    public Verdict play(DayKind kind, long seed) {
        Outcome late = run(kind, seed, SEES_LATE);
        Outcome plain = run(kind, seed, PLAINEST);
        try {
            return Verdict.of(kind, seed, run(kind, seed, policy), late, plain);
        } catch (RuntimeException | AssertionError e) {
            return Verdict.crashed(kind, seed, e);
        }
    }

    private Outcome run(DayKind kind, long seed, String by) {
        Map<String, String> figures = new TreeMap<>(set);
        figures.put("policy", by);
        return new World(DayDraw.scenario(kind, seed, size, beside, new Overrides(figures)), seed, 1).run();
    }

    /**
     * Plays all those days, several at a time, and tells of each in the order of kinds and seeds.
     *
     * @param threads days at a time; verdicts are the same for any number
     */
    public List<Verdict> play(List<DayKind> kinds, long firstSeed, int seeds, int threads, Consumer<Verdict> listener) {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Verdict>> days = new ArrayList<>();
            for (DayKind k : kinds) {
                for (long s = firstSeed; s < firstSeed + seeds; s++) {
                    long seed = s;
                    days.add(pool.submit(() -> play(k, seed)));
                }
            }
            List<Verdict> out = new ArrayList<>();
            for (Future<Verdict> d : days) {
                out.add(d.get());
                listener.accept(out.get(out.size() - 1));
            }
            return out;
        } catch (ExecutionException e) {
            throw new CompletionException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            pool.shutdownNow();
        }
    }
}
