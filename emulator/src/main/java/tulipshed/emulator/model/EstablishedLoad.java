package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.emulator.policy.EmulatedAttempt;

/** The connections that stand at one member, and what they ask of it: their own work, and once that of each group. */
final class EstablishedLoad {
    private final List<EmulatedAttempt> flows = new ArrayList<>();
    private final Map<Integer, Integer> groups = new HashMap<>();
    private final int[][] counts;
    private final double groupLoad;
    private double cores;

    /**
     * Nothing stands yet.
     *
     * @param groupLoad work of a group that is there at all, in cores
     */
    EstablishedLoad(int classes, int tenants, double groupLoad) {
        counts = new int[classes][tenants];
        this.groupLoad = groupLoad;
    }

    int size() {
        return flows.size();
    }

    boolean isEmpty() {
        return flows.isEmpty();
    }

    EmulatedAttempt get(int place) {
        return flows.get(place);
    }

    /** All of them, to be changed only by {@link #remove}. */
    List<EmulatedAttempt> flows() {
        return flows;
    }

    /** The connections of the highest load, so many or all; a copy. */
    List<EmulatedAttempt> heaviest(int count) {
        List<EmulatedAttempt> heaviest = new ArrayList<>(flows);
        heaviest.sort((a, b) -> a.load != b.load
                ? Double.compare(b.load, a.load)
                : Integer.compare(a.indexAtEndpoint, b.indexAtEndpoint));
        return heaviest.subList(0, Math.min(count, heaviest.size()));
    }

    /** Work asked for each second, in cores. */
    double cores() {
        return cores;
    }

    /** Whether any of a group is among them. */
    boolean holds(int group) {
        return groups.containsKey(group);
    }

    void add(EmulatedAttempt f) {
        f.indexAtEndpoint = flows.size();
        flows.add(f);
        counts[f.requestClass][f.tenant]++;
        cores += f.load;
        if (f.group >= 0 && groups.merge(f.group, 1, Integer::sum) == 1) {
            cores += groupLoad;
        }
    }

    void remove(EmulatedAttempt f) {
        EmulatedAttempt last = flows.remove(flows.size() - 1);
        if (last != f) {
            flows.set(f.indexAtEndpoint, last);
            last.indexAtEndpoint = f.indexAtEndpoint;
        }
        f.indexAtEndpoint = -1;
        counts[f.requestClass][f.tenant]--;
        cores = flows.isEmpty() ? 0 : cores - f.load;
        if (f.group >= 0 && groups.merge(f.group, -1, Integer::sum) == 0) {
            groups.remove(f.group);
            cores = flows.isEmpty() ? 0 : cores - groupLoad;
        }
    }

    /** A connection asks for so much from now on, in cores. */
    void load(EmulatedAttempt f, double now) {
        if (f.indexAtEndpoint >= 0) {
            cores += now - f.load;
        }
        f.load = now;
    }

    /** What has stood for a while is counted; as well served where {@code inTime} is not null, by class. */
    void count(Counters t, double nowMs, double passedMs, double[] inTime) {
        for (int c = 0; c < counts.length; c++) {
            for (int tenant = 0; tenant < counts[c].length; tenant++) {
                if (counts[c][tenant] > 0) {
                    t.stood(nowMs, counts[c][tenant] * passedMs);
                    if (inTime != null) {
                        t.good(c, tenant, nowMs, counts[c][tenant] * passedMs * inTime[c]);
                    }
                }
            }
        }
    }
}
