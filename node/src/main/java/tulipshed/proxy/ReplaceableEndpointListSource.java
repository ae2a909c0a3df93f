package tulipshed.proxy;

/** Forwards to the source set last; until one is set, watching has no effect. Confined to the event-loop thread. */
final class ReplaceableEndpointListSource implements EndpointListSource {
    private EndpointListSource source = () -> {};

    /** Sets the source for future calls of {@link #watch}. */
    void set(EndpointListSource replacement) {
        source = replacement;
    }

    @Override
    public void watch() {
        source.watch();
    }
}
