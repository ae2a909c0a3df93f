package tulipshed.proxy;

/** The one thread on which all of a node's work runs. */
public interface EventLoop {
    /** Runs the task after all input that is ready now has been read. */
    void execute(Runnable task);

    /** Runs the task after {@code delayMs} milliseconds, or a little later. */
    void schedule(double delayMs, Runnable task);
}
