package tulipshed.proxy;

/** A transaction's client, as the front that took it implements it. Called on the loop only. */
public interface ClientConnection {
    /** Final answer: turned away; trying again is harmless, after that many milliseconds where above 0. */
    void reject(double retryAfterMs);

    /** Final answer: failed. */
    void fail();

    /** Asks the client of a standing connection to come again, and ends the connection on both sides. */
    void migrate();
}
