package tulipshed.operators;

import java.util.Map;

/**
 * One configuration of connection IDs, {@code (ids ...)} (QUIC-LB draft, section 3).
 *
 * @param configuration the configuration number in the first octet, from 0 to 6
 * @param serverIdBytes the length of the server ID, in bytes
 * @param nonceBytes the length of the nonce, in bytes
 * @param connectionBytes the number of bytes of the nonce that hold the server's connection number; 0 if none do
 * @param key the encryption key; null if server IDs are in plain text
 * @param servers the endpoint IDs by server ID in hexadecimal
 */
public record ConnectionIdSection(
        int configuration,
        int serverIdBytes,
        int nonceBytes,
        int connectionBytes,
        byte[] key,
        Map<String, String> servers) {}
