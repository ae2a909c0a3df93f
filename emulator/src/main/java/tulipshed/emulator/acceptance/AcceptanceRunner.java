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
import tulipshed.emulator.model.RunResult;
import tulipshed.emulator.model.World;
import tulipshed.emulator.scenario.Overrides;

/** Plays days and judges them. What comes of each depends on its kind, seed and size alone. */
public final class AcceptanceRunner {
    private static final String SEES_LATE = "sees-late-1000";
    private static final String PLAINEST = "random";

    private final ScenarioGenerator.Size size;
    private final String policy;
    private final Map<String, String> set;
    private final ScenarioGenerator.Beside beside;

    /**
     * A gate for nodes whose decisions are those of a policy.
     *
     * @param set figures that replace those of the days, by path
     */
    public AcceptanceRunner(ScenarioGenerator.Size size, String policy, Map<String, String> set) {
        this(size, ScenarioGenerator.Beside.NOTHING, policy, set);
    }

    /** A gate of days with more beside what is drawn. */
    public AcceptanceRunner(
            ScenarioGenerator.Size size, ScenarioGenerator.Beside beside, String policy, Map<String, String> set) {
        this.size = size;
        this.beside = beside;
        this.policy = policy;
        this.set = set;
    }

    /** Plays one day three times: by the node, by one who sees true states late, and by the plainest. */
    public AcceptanceResult play(ScenarioKind kind, long seed) {
        RunResult late = run(kind, seed, SEES_LATE);
        RunResult plain = run(kind, seed, PLAINEST);
        try {
            return AcceptanceResult.of(kind, seed, run(kind, seed, policy), late, plain);
        } catch (RuntimeException | AssertionError e) {
            return AcceptanceResult.crashed(kind, seed, e);
        }
    }

    private RunResult run(ScenarioKind kind, long seed, String by) {
        Map<String, String> figures = new TreeMap<>(set);
        figures.put("policy", by);
        return new World(ScenarioGenerator.scenario(kind, seed, size, beside, new Overrides(figures)), seed, 1).run();
    }

    /**
     * Plays all those days, several at a time, and tells of each in the order of kinds and seeds.
     *
     * @param threads days at a time; verdicts are the same for any number
     */
    public List<AcceptanceResult> play(
            List<ScenarioKind> kinds, long firstSeed, int seeds, int threads, Consumer<AcceptanceResult> listener) {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<AcceptanceResult>> days = new ArrayList<>();
            for (ScenarioKind k : kinds) {
                for (long s = firstSeed; s < firstSeed + seeds; s++) {
                    long seed = s;
                    days.add(pool.submit(() -> play(k, seed)));
                }
            }
            List<AcceptanceResult> out = new ArrayList<>();
            for (Future<AcceptanceResult> d : days) {
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
