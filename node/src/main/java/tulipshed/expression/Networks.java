package tulipshed.expression;

import java.util.List;

/** Networks of which an address may be in one. */
record Networks(List<Network> list) {
    boolean contain(long high, long low) {
        for (int i = 0; i < list.size(); i++) {
            if (list.get(i).contains(high, low)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public String toString() {
        return list.toString();
    }
}
