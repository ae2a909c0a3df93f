package tulipshed.operators;

import java.util.Map;

/**
 * One configuration of connection IDs, {@code (ids ...)} (QUIC-LB draft, section 3).
 *
 * @param configuration the configuration's number in the first octet, from 0 to 6
 * @param serverIdBytes the length of the server ID
 * @param nonceBytes the length of the nonce
 * @param connectionBytes how many bytes of the nonce hold the server's number of the connection; 0 where none do
 * @param key the key of the encryption; null where server IDs are in plain text
 * @param servers the IDs of endpoints by their server IDs in hexadecimal
 */
public record ConnectionIdSection(
        int configuration,
        int serverIdBytes,
        int nonceBytes,
        int connectionBytes,
        byte[] key,
        Map<String, String> servers) {}
