package tulipshed.proxy;

/** Where the list of pool members comes from. */
public interface MemberSource {
    /** Asks for changes from now on; answered by {@link TransactionCore#members}. */
    void watch();
}
