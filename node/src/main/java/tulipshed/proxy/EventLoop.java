package tulipshed.proxy;

/** The single-threaded event loop on which all work of a node runs. */
public interface EventLoop {
    /** Schedules the task to run after all input that is ready now has been read. */
    void execute(Runnable task);

    /** Schedules the task to run after {@code delayMs} milliseconds, or slightly later. */
    void schedule(double delayMs, Runnable task);
}
