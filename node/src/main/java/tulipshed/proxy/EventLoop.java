package tulipshed.proxy;

/** The one thread on which everything runs. */
public interface EventLoop {
    /** Runs the task after all that is ready now has been gathered. */
    void execute(Runnable task);

    /** Runs the task after that many milliseconds, or a little later. */
    void schedule(double ms, Runnable task);
}
