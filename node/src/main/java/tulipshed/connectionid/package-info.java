/**
 * Routable connection IDs (draft-ietf-quic-load-balancers, "QUIC-LB"), which nodes decode and servers encode. It depends on
 * nothing else of the node, and the build also packages it as a library for servers, whose public names do not change.
 */
package tulipshed.connectionid;
