package tulipshed.emulator.model;

/** A signal to a node's process, by the name that {@code kill} takes. */
public enum ProcessSignal {
    /** Reload the configuration. */
    HUP,
    /** Shut down gracefully. */
    TERM,
    /** End at once: the platform's last word to a process that still runs. */
    KILL
}
