package tulipshed.emulator.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tulipshed.emulator.model.World;
import tulipshed.emulator.results.Results;

/** Does the runs of a plan that are not done yet. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description =
                "Does all runs of an experiment, one on each core. Stopped at any moment, it goes on where it was.")
final class SweepCommand implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Parameters(paramLabel = "EXPERIMENT", description = "A file that says what varies.")
    Path file;

    @Option(names = "--out", required = true, description = "The folder of results.")
    Path out;

    @Option(names = "--cores", description = "How many runs at a time (default: all cores).")
    int cores = Runtime.getRuntime().availableProcessors();

    @Option(names = "--quiet", description = "No progress bar.")
    boolean quiet;

    @Override
    public Integer call() throws InterruptedException {
        List<Experiment.Planned> all = Experiment.load(file).runs();
        ExecutorService pool = Executors.newFixedThreadPool(cores);
        int did = 0;
        try (Results results = new Results(out);
                ProgressBar bar = bar(all.size())) {
            List<Future<?>> done = new ArrayList<>();
            for (Experiment.Planned p : all) {
                if (results.has(p.key())) {
                    bar.step();
                    continue;
                }
                did++;
                done.add(pool.submit(() -> {
                    results.write(p.key(), p.overrides().values(), new World(p.scenario(), p.seed(), 1).run());
                    bar.step();
                }));
            }
            for (Future<?> f : done) {
                f.get();
            }
        } catch (ExecutionException e) {
            pool.shutdownNow();
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdown();
        }
        spec.commandLine().getOut().println(did + " of " + all.size() + " runs done now, the others before");
        spec.commandLine().getOut().flush();
        return 0;
    }

    private ProgressBar bar(int runs) {
        ProgressBarBuilder b = new ProgressBarBuilder()
                .setTaskName("sweep")
                .setInitialMax(runs)
                .setStyle(ProgressBarStyle.ASCII)
                .setUnit(" runs", 1);
        return (quiet ? b.setConsumer(new me.tongfei.progressbar.DelegatingProgressBarConsumer(s -> {})) : b).build();
    }
}
