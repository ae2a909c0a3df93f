/**
 * Connection ids that carry the id of their server (draft-ietf-quic-load-balancers, "QUIC-LB"): what a node reads and what
 * servers write. A library of its own, which needs nothing of the node; the build also puts it into a jar of its own.
 */
package tulipshed.connectionid;
