package tulipshed.decision.api;

/** Meaning of the entries of a list event. */
public enum EndpointListKind {
    /** Changed entries only. */
    CHANGES,
    /** Complete list: absent endpoints are removed. */
    COMPLETE,
    /** Complete but possibly outdated list, cached before a restart. */
    CACHED,
    /** A poll failed or the subscription broke; the known list stays valid. */
    FAILED
}
