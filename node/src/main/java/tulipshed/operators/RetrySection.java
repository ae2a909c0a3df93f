package tulipshed.operators;

import java.util.Map;

/**
 * When clients must validate their address by a Retry, and with which keys, {@code (retry ...)} (RFC 9000, section 8.1.2).
 *
 * @param keys the keys of tokens by their numbers
 * @param use the number of the key that seals new tokens
 * @param expiresMs how long a token is valid, in milliseconds
 * @param on the number of connections with unvalidated addresses from which on Retry is required
 * @param off the number of these connections down to which it stays required
 * @param stayMs how long it stays required at least, in milliseconds
 */
public record RetrySection(Map<Integer, byte[]> keys, int use, double expiresMs, int on, int off, double stayMs) {}
