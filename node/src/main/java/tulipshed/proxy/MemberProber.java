package tulipshed.proxy;

/**
 * Asks pool members how busy they are. Every probe asked for is answered once by {@link TransactionCore#probed}, also
 * where it cannot be sent; probes of one member that overlap may share an answer.
 */
public interface MemberProber {
    /** Asks one member, which serves and has an address. */
    void probe(PoolMember member);
}
