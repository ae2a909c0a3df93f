package tulipshed.simadapter;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Type of an input line; the external name is the value of {@code cmd}. */
enum EventType {
    /** Starts a batch of events that have the same time. */
    BATCH_START("Batch"),
    /** Ends a batch. */
    BATCH_END("Eob"),
    /** Creates an instance of the decision module with its settings. */
    INSTANCE_CREATED("Provision"),
    /** Removes an instance. */
    INSTANCE_REMOVED("Detach"),
    /** An endpoint list, or changes to it. */
    ENDPOINTS_CHANGED("PeersKnown"),
    /** A new request. */
    REQUEST_ARRIVED("Incoming"),
    /** A connection that was established before the instance was created. */
    CONNECTION_ADOPTED("Open"),
    /** An attempt was established at its endpoint. */
    ATTEMPT_ESTABLISHED("Started"),
    /** A load or a latency reported on an established connection. */
    CONNECTION_REPORTED("Notice"),
    /** An attempt ended. */
    ATTEMPT_ENDED("Finished"),
    /** The client cancelled its request. */
    REQUEST_CANCELLED("Abandoned"),
    /** A health check completed. */
    HEALTH_CHECK_COMPLETED("Checked"),
    /** A timer of the instance expired. */
    TIMER_FIRED("TickDue"),
    /** A message from another instance. */
    PEER_MESSAGE_RECEIVED("NoteFrom");

    private static final Map<String, EventType> BY_EXTERNAL_NAME =
            Arrays.stream(values()).collect(Collectors.toMap(type -> type.externalName, Function.identity()));

    private final String externalName;

    EventType(String externalName) {
        this.externalName = externalName;
    }

    /** The type with this external name, or null if there is none. */
    static EventType of(String externalName) {
        return BY_EXTERNAL_NAME.get(externalName);
    }
}
