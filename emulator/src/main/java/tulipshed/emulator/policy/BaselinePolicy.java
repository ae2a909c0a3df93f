package tulipshed.emulator.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.Outcome;

/** What is common to the policies that the module is compared with: they choose, try again elsewhere, then turn away. */
abstract class BaselinePolicy extends AttemptingPolicy {
    private static final double RETRY_MS = 1000;
    private static final double ASK_MS = 1000;

    final UniformRandomProvider random;
    private int[] serving = new int[0];
    private int count;
    private final int[] placeOf;
    final double[] weight;
    /** Connections of this node at each member, coming up and standing. */
    final int[] open;

    BaselinePolicy(PolicyHost host) {
        super(host);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {host.seed(), 0x7A11D});
        int n = host.members();
        placeOf = new int[n];
        java.util.Arrays.fill(placeOf, -1);
        weight = new double[n];
        open = new int[n];
        host.after(random.nextDouble() * ASK_MS, host::watch);
    }

    /** A member to try, other than one just tried where there is a choice; below 0 where there is none. */
    abstract int choose(ClientRequest t, int not);

    void came(int member) {}

    void went(int member) {}

    void took(int member, double ms) {}

    final int servingCount() {
        return count;
    }

    final int serving(int i) {
        return serving[i];
    }

    final int any(int not) {
        if (count == 0) {
            return -1;
        }
        int m = serving[random.nextInt(count)];
        return m == not && count > 1 ? serving[(placeOf[m] + 1 + random.nextInt(count - 1)) % count] : m;
    }

    @Override
    public void list(EndpointListing.Batch batch) {
        if (batch.kind() == EndpointListKind.FAILED) {
            host.after(ASK_MS * (0.5 + random.nextDouble()), host::watch);
            return;
        }
        if (batch.kind() != EndpointListKind.CHANGES) {
            while (count > 0) {
                remove(serving[count - 1]);
            }
        }
        for (EndpointListing n : batch.news()) {
            weight[n.member()] = n.listed().info().weight();
            if (n.serving() && placeOf[n.member()] < 0) {
                if (count == serving.length) {
                    serving = java.util.Arrays.copyOf(serving, Math.max(16, 2 * count));
                }
                placeOf[n.member()] = count;
                serving[count++] = n.member();
                came(n.member());
            } else if (!n.serving() && placeOf[n.member()] >= 0) {
                remove(n.member());
            }
        }
    }

    @Override
    public void reload() {
        host.watch();
    }

    private void remove(int member) {
        int at = placeOf[member];
        int last = serving[--count];
        serving[at] = last;
        placeOf[last] = at;
        placeOf[member] = -1;
        went(member);
    }

    @Override
    final void ask(ClientRequest t) {
        place(t, -1);
    }

    private void place(ClientRequest t, int not) {
        double left = t.leftMs(host.nowMs());
        int m = t.attempts < host.scenario().nodes().maxAttempts() && left > 60 ? choose(t, not) : -1;
        if (m < 0) {
            t.owed = false;
            host.refuse(
                    t,
                    Math.min(RETRY_MS, host.scenario().nodes().maxRetryAfterMs())
                            * (0.75 + 0.25 * random.nextDouble()));
            return;
        }
        open[m]++;
        boolean last = t.attempts + 1 >= host.scenario().nodes().maxAttempts();
        attempt(t, m, last ? 0 : left / 2);
    }

    @Override
    public final void alreadyOpen(ClientRequest t, EmulatedAttempt f) {
        t.owed = false;
        t.standing = true;
        open[f.member]++;
    }

    @Override
    void started(EmulatedAttempt f, double tookMs) {
        took(f.member, tookMs);
    }

    @Override
    void finished(EmulatedAttempt f, boolean concluded, Outcome outcome) {
        open[f.member]--;
        if (!f.of.standing && outcome != Outcome.CANCELLED) {
            took(f.member, Math.max(1000, host.nowMs() - f.sentMs));
        }
        if (!concluded) {
            place(f.of, f.member);
        }
    }

    @Override
    void abandoned(ClientRequest t) {}

    @Override
    public void delayed(EmulatedAttempt f, double delayMs) {}

    @Override
    public void loadChanged(EmulatedAttempt f) {}
}
