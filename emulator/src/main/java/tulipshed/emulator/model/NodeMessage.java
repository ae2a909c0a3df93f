package tulipshed.emulator.model;

import tulipshed.emulator.engine.Payload;

/** The messages to a node, emulated or behind sockets. */
public sealed interface NodeMessage extends Payload permits AttemptMessage, ClientMessage, NodeTimer, ProcessMessage {
    /** Calls the handler of the message. */
    void deliverTo(NodeActor node);
}
