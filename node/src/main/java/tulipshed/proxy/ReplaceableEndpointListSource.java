package tulipshed.proxy;

/** Forwards to the source that was set last; without one nothing is watched. Confined to the event-loop thread. */
final class ReplaceableEndpointListSource implements EndpointListSource {
    private EndpointListSource source = () -> {};

    /** Sets where the endpoint list is watched from now on. */
    void set(EndpointListSource replacement) {
        source = replacement;
    }

    @Override
    public void watch() {
        source.watch();
    }
}
