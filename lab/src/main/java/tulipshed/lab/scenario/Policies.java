package tulipshed.lab.scenario;

import java.util.List;

/** What may decide in a node of the lab. */
public final class Policies {
    /** The decision module as it is, the whole core around it, and what they are compared with. */
    public static final List<String> NAMES = List.of("module", "core", "random", "least-of-two", "round-robin",
            "bounded-hashing", "peak-ewma", "clairvoyant");

    private Policies() { }
}
