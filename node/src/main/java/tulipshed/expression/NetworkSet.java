package tulipshed.expression;

import java.util.List;

/** A list of networks in which an address is looked for, one after the other. */
record NetworkSet(List<Network> networks) {
    /** Whether one of the networks contains the address, given as the 128 bits of IPv6. */
    boolean contains(long highBits, long lowBits) {
        for (int i = 0; i < networks.size(); i++) {
            if (networks.get(i).contains(highBits, lowBits)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public String toString() {
        return networks.toString();
    }
}
