package tulipshed.emulator.engine;

/** What a message carries from one actor to another. Implementations are immutable, or owned by the receiver alone. */
public interface Payload {
    /**
     * The number of the payload's type, which goes into the trace of a run. It is part of the results that are kept, so it
     * stays the same when a type is renamed.
     */
    int traceCode();
}
