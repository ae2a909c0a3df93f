package tulipshed.emulator.policy;

/** Random choice: every serving endpoint with the same probability. */
final class RandomPolicy extends BaselinePolicy {
    RandomPolicy(PolicyHost host) {
        super(host);
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        return randomEndpoint(excluded);
    }
}
