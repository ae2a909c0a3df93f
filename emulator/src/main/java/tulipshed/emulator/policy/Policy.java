package tulipshed.emulator.policy;

import java.util.List;
import tulipshed.decision.api.Outcome;

/** What decides in an emulated node, from what a node of the real world would be told. */
public interface Policy {
    /** News of the list. */
    void list(EndpointListing.Batch news);

    /** A client asks; one final answer is owed. */
    void arrived(ClientRequest t);

    /** A connection that stood at a member before the day began; its flow is up. */
    void alreadyOpen(ClientRequest t, EmulatedAttempt f);

    /** A member serves; false where the client must not hear of it any more. */
    boolean up(EmulatedAttempt f);

    /** A flow ended by itself or by its member's doing. */
    void ended(EmulatedAttempt f, Outcome outcome);

    /** The client left before it was answered. */
    void left(ClientRequest t);

    /** Messages at a standing flow's member take this long now. */
    void delayed(EmulatedAttempt f, double delayMs);

    /** A standing connection's load changed. */
    void loadChanged(EmulatedAttempt f);

    /** The configuration is read again: discovery is elsewhere from now on and must be asked anew. */
    default void reload() {}

    /** From now on the process may use that share of the node's quotas, as another one serves as well. */
    default void quotaShare(double share) {}

    /** The process ends in good order: each of these requests that is still owed its answer gets it now. */
    void shutDown(List<ClientRequest> pending);

    /** Runs what became ready with the last event; called after each. */
    default void settle() {}
}
