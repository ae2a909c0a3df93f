package tulipshed.emulator.loadtest;

import java.util.ArrayList;
import java.util.List;

/**
 * When the run had a process stopped (SIGSTOP), as measured. Such a pause frees no request of its answer; it moves the moment
 * by which the answer is owed, as the process cannot act before it goes on.
 */
final class ProcessPauses {
    private static final class Pause {
        private final double fromMs;
        private double untilMs = Double.POSITIVE_INFINITY;

        Pause(double fromMs) {
            this.fromMs = fromMs;
        }
    }

    /** In order; only the last may go on. */
    private final List<Pause> pauses = new ArrayList<>();

    /** The process is about to be stopped. */
    void begin(double nowMs) {
        end(nowMs);
        pauses.add(new Pause(nowMs));
    }

    /** The process goes on, or another has taken its place. */
    void end(double nowMs) {
        if (!pauses.isEmpty()) {
            Pause last = pauses.get(pauses.size() - 1);
            last.untilMs = Math.min(last.untilMs, nowMs);
        }
    }

    /** A moment, moved by all pauses since another one; infinite while a pause before it goes on. */
    double dueMs(double sinceMs, double atMs) {
        double due = atMs;
        for (Pause p : pauses) {
            if (p.untilMs > sinceMs && p.fromMs < due) {
                due += p.untilMs - Math.max(p.fromMs, sinceMs);
            }
        }
        return due;
    }
}
