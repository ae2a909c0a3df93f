package tulipshed.emulator.policy;

/** Round robin over the serving endpoints, from a random one on. */
final class RoundRobinPolicy extends BaselinePolicy {
    private int next = -1;

    RoundRobinPolicy(PolicyHost host) {
        super(host);
    }

    @Override
    int choose(ClientRequest request, int excluded) {
        if (servingCount() == 0) {
            return -1;
        }
        next = next < 0 ? random.nextInt(servingCount()) : (next + 1) % servingCount();
        return servingEndpoint(next);
    }
}
