package tulipshed.emulator.policy;

/**
 * Power of two choices: of two random endpoints the one with fewer connections of this node, relative to its weight.
 *
 * <p>Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE Transactions on Parallel and
 * Distributed Systems 12(10), 2001.
 */
final class PowerOfTwoChoicesPolicy extends BaselinePolicy {
    PowerOfTwoChoicesPolicy(PolicyHost host) {
        super(host);
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        int first = randomEndpoint(excluded);
        int second = randomEndpoint(excluded);
        if (first < 0 || connections[second] / weight[second] >= connections[first] / weight[first]) {
            return first;
        }
        return second;
    }
}
