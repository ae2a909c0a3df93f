package tulipshed.decision.api;

/** Meaning of the entries of an endpoint list event. */
public enum EndpointListKind {
    /** Changed entries only. */
    CHANGES,
    /** Complete list: absent endpoints are removed. */
    COMPLETE,
    /** Complete but possibly outdated list, cached before a restart. */
    CACHED,
    /** A poll or the watch failed; the current list stays valid. */
    FAILED
}
