package tulipshed.emulator.policy;

/** The true state of an emulated endpoint. Only oracle policies may read it: no real node can. */
public interface GroundTruth {
    /** Whether its process runs. */
    boolean alive();

    /** The load that it can serve now, in cores of speed 1; less than its size during slow start. */
    double capacity();

    /** The load of its established connections, in cores of speed 1. */
    double load();

    /** The work that it has not kept up with, in milliseconds. */
    double backlogMs();

    /** The work that it received during slow start, as a share of what makes its process fail; 1 is the limit. */
    double strain();

    /** Whether it holds a connection of a group now, which no list or report says. */
    boolean holdsGroup(int group);

    /**
     * Its state at an earlier time, as far back as states are kept.
     *
     * @param atMs virtual time
     */
    GroundTruth at(double atMs);

    /** One element: the load of connections on their way to it, in cores of speed 1; the clairvoyant policy adds to it. */
    double[] committedLoad();
}
