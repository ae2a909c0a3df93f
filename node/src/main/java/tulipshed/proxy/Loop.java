package tulipshed.proxy;

/** The one thread on which everything runs. */
public interface Loop {
    /** Runs the task after all that is ready now has been gathered. */
    void afterGathering(Runnable task);

    /** Runs the task after that many milliseconds, or a little later. */
    void after(double ms, Runnable task);
}
