package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The turns of a node's process, which handles one event at a time. A turn that writes may stall: what it writes leaves the
 * node at the end of the stall, and the turns of later events wait for it.
 */
final class ProcessTurns {
    private final EmulatedNode node;
    private final ProcessStalls stalls;

    ProcessTurns(EmulatedNode node, UniformRandomProvider random) {
        this.node = node;
        stalls = new ProcessStalls(random);
    }

    /** From now on the process stalls now and then, for that many milliseconds. */
    void beginStalls(double durationMs) {
        stalls.begin(node.nowMs, durationMs);
        excuseStalls();
    }

    /** Has the process's invariants allow for stalls. */
    void excuseStalls() {
        node.process().invariants().allowStall(stalls.excusesUntilMs(), ProcessStalls.LONGEST_MS);
    }

    boolean isStalled() {
        return stalls.isHeld(node.nowMs);
    }

    /** Runs a turn now, or once the process does not stall. */
    void run(Runnable turn) {
        if (isStalled()) {
            stalls.waits(() -> run(turn));
            return;
        }
        turn.run();
        if (node.process().isRunning() && isStalled()) {
            // All that follows from the turn belongs to the turn that stalls.
            node.process().policy().runReadyTasks();
        }
    }

    /** Runs a turn after the present stall. */
    void runAfterStall(Runnable turn) {
        stalls.waits(turn);
    }

    /** Runs a turn after the present stall and before all others that wait. */
    void runFirstAfterStall(Runnable turn) {
        stalls.waitsFirst(turn);
    }

    /** Runs the turns that have waited for the end of a stall. */
    void resume() {
        stalls.resume(node.nowMs, this::runReadyTasks);
    }

    /** Runs what the policy has ready, unless the process stalls or has ended. */
    void runReadyTasks() {
        if (node.process().isRunning() && !isStalled()) {
            node.process().policy().runReadyTasks();
        }
    }

    /** When what the present turn writes leaves the node, in virtual milliseconds; the turn may begin to stall by this. */
    double writeMs() {
        if (stalls.strikes(node.nowMs)) {
            node.log(null, "is held up until " + departureMs());
            node.scheduleSelf(departureMs(), new ProcessMessage.StallOver());
        }
        return departureMs();
    }

    /** When what is sent now leaves the node, in virtual milliseconds. */
    double departureMs() {
        return stalls.writtenMs(node.nowMs);
    }

    /** The process has ended; turns that wait are lost. */
    void end() {
        stalls.end();
    }
}
