package tulipshed.operators;

import java.util.Map;

/**
 * The settings of address validation by Retry, {@code (retry ...)} (RFC 9000, section 8.1.2).
 *
 * @param keys the token keys by key number
 * @param use the number of the key that encrypts new tokens
 * @param expiresMs the validity of a token, in milliseconds
 * @param on the number of connections with unvalidated addresses at which Retry becomes required
 * @param off the number of these connections down to which Retry stays required
 * @param stayMs the minimum time for which Retry stays required, in milliseconds
 */
public record RetrySection(Map<Integer, byte[]> keys, int use, double expiresMs, int on, int off, double stayMs) {}
