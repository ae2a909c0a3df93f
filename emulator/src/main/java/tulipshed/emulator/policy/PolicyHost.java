package tulipshed.emulator.policy;

import tulipshed.emulator.scenario.Scenario;

/** The node around a policy: what it can do. */
public interface PolicyHost {
    double nowMs();

    /** What the node's own clock shows: it never steps, and its origin is that of no other clock. */
    double clockMs();

    Scenario scenario();

    int node();

    /** A seed of the node's own for this start. */
    long seed();

    /** How many members there may ever be, and the name of one. */
    int members();

    String nameOf(int member);

    /** Sends a flow towards a member. */
    EmulatedAttempt dial(ClientRequest t, int member);

    /** Ends a flow of which nothing more is wanted; nothing is told of it from here on. */
    void giveUp(EmulatedAttempt f);

    /** Final answer: turned away, to come again after so long where above 0. */
    void refuse(ClientRequest t, double retryAfterMs);

    /** Final answer: failed. */
    void fail(ClientRequest t);

    /** Ends a standing connection politely; its client comes again. */
    void move(ClientRequest t);

    /** Runs something later, unless the node has ended before. */
    void after(double ms, Runnable what);

    /** Asks discovery for changes from now on. */
    void watch();

    /** The true state of a member, which only the clairvoyant may look at. */
    Truth truth(int member);

    /** How a member really is. */
    interface Truth {
        boolean alive();

        /** What it can bear now, in cores, and what it bears. */
        double capacity();

        double load();

        double backlogMs();

        /** How far it is from being pushed over; 1 is the bound. */
        double strain();

        /** Whether it holds any of a group, now; its own doing, as nobody tells of it. */
        boolean holds(int group);

        /** How it was at that moment of the day, as far as that was kept. */
        Truth at(double ms);

        /** Work that is on its way to it, in cores; the clairvoyant's own note. */
        double[] promised();
    }
}
