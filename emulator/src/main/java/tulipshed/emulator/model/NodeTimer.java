package tulipshed.emulator.model;

/** A message of a node to itself whose meaning is known to its own class only. */
public non-sealed interface NodeTimer extends NodeMessage {
    /** Does what is due. */
    void fire();

    @Override
    default void deliverTo(NodeActor node) {
        fire();
    }
}
