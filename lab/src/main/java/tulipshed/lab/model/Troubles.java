package tulipshed.lab.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tulipshed.decision.BalancerApi.ServerState;
import tulipshed.lab.engine.Part;
import tulipshed.lab.scenario.Scenario;
import tulipshed.lab.scenario.Scenario.Trouble;

/** Plans a day's troubles: whom each strikes and when, by chance from the seed, before the day begins. */
final class Troubles {
    private final World world;
    private final UniformRandomProvider random;
    private final Planner planner;

    /** Where the plan comes from; it only sends. */
    private static final class Planner extends Part {
        Planner() {
            super(2);
        }

        @Override
        protected void take(double nowMs, tulipshed.lab.engine.Message message) {
            throw new IllegalStateException("nothing is sent to the planner");
        }

        void plan(double atMs, Part to, int kind, Object what, double value) {
            send(atMs, to, kind, what, value);
        }
    }

    Troubles(World world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
        planner = new Planner();
        world.engine().add(planner);
    }

    static int count(Trouble t, int of) {
        return t.count() > 0 ? t.count() : (int) Math.max(1, Math.round(t.share() * of));
    }

    private List<Integer> chosen(Trouble t, int of) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        ListSampler.shuffle(random, all);
        return all.subList(0, Math.min(of, count(t, of)));
    }

    private double within(Trouble t) {
        return t.atMs() + t.overMs() * random.nextDouble();
    }

    private void state(double atMs, int member, ServerState state, double startedMs) {
        planner.plan(atMs, world.discovery, Kinds.STATE, new int[] {member, state.ordinal()}, startedMs);
    }

    void plan() {
        int added = world.listedAtStart;
        for (Trouble t : world.scenario.troubles()) {
            if (t.kind().equals("add-members")) {
                int n = count(t, world.listedAtStart);
                for (int m = added; m < added + n; m++) {
                    double at = within(t);
                    planner.plan(at, world.members[m], Kinds.RISES, null, 0);
                    state(at, m, ServerState.SERVING, at);
                }
                added += n;
            } else if (t.kind().endsWith("-members")) {
                members(t);
            } else {
                nodes(t);
            }
        }
    }

    private void members(Trouble t) {
        Scenario.MemberModel model = world.scenario.members();
        for (int m : chosen(t, world.listedAtStart)) {
            MemberPart member = world.members[m];
            double at = t.kind().startsWith("slow") || t.kind().startsWith("pause") ? t.atMs() : within(t);
            switch (t.kind()) {
                case "deploy-members", "remove-members" -> {
                    double gone = at + model.drainMs();
                    state(at, m, ServerState.DRAINING, 0);
                    planner.plan(gone, member, Kinds.DRAINED, null, 0);
                    state(gone, m, ServerState.GONE, 0);
                    if (t.kind().startsWith("deploy")) {
                        double back = gone + model.restartMs();
                        planner.plan(back, member, Kinds.RISES, null, 0);
                        state(back, m, ServerState.SERVING, back);
                    }
                }
                case "kill-members", "crash-members" -> {
                    planner.plan(at, member, Kinds.DIES, null, t.kind().startsWith("crash") ? 1 : 0);
                    state(at + (t.kind().startsWith("crash") ? world.scenario.discovery().detectMs()
                            : world.scenario.discovery().silentMs()), m, ServerState.GONE, 0);
                }
                case "slow-members" -> {
                    planner.plan(at, member, Kinds.SLOW, null, Math.max(1, t.factor()));
                    planner.plan(at + t.overMs(), member, Kinds.SLOW, null, 1);
                }
                case "pause-members" -> planner.plan(at, member, Kinds.PAUSE, null, t.overMs());
                default -> throw new IllegalStateException(t.kind());
            }
        }
    }

    private void nodes(Trouble t) {
        switch (t.kind()) {
            case "deploy-nodes", "kill-nodes" -> {
                for (int n : chosen(t, world.nodes.length)) {
                    planner.plan(within(t), world.nodes[n], Kinds.STOP, null, t.kind().startsWith("deploy") ? 1 : 0);
                }
            }
            case "dark-list" -> planner.plan(t.atMs(), world.discovery, Kinds.DARK, null, t.overMs());
            case "burst" -> {
                for (NodeSide n : world.nodes) {
                    planner.plan(t.atMs(), n, Kinds.RATE, null, t.factor());
                    planner.plan(t.atMs() + t.overMs(), n, Kinds.RATE, null, 1);
                }
            }
            case "impatient" -> {
                for (NodeSide n : world.nodes) {
                    planner.plan(t.atMs(), n, Kinds.IMPATIENT, null, t.overMs());
                }
            }
            case "partition" -> {
                String site = "s" + (t.count() % world.scenario.network().sites());
                for (NodeSide n : world.nodes) {
                    if (n.site.equals(site)) {
                        planner.plan(t.atMs(), n, Kinds.CUT, null, t.overMs());
                    }
                }
            }
            default -> throw new IllegalStateException(t.kind());
        }
    }
}
