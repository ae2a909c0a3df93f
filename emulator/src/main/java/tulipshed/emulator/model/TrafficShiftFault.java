package tulipshed.emulator.model;

import tulipshed.emulator.scenario.FaultSettings;

/** Nodes of one site get several times their clients for a time, at the cost of all others. */
record TrafficShiftFault() implements FaultKind {
    @Override
    public void plan(FaultSettings trouble, FaultPlan plan) {
        String site = plan.site(trouble);
        double siteShare = 0;
        for (NodeActor node : plan.nodes()) {
            siteShare += node.site.equals(site) ? plan.clientShare(node) : 0;
        }
        double otherFactor = siteShare < 1 ? Math.max(0, (1 - trouble.factor() * siteShare) / (1 - siteShare)) : 1;
        for (NodeActor node : plan.nodes()) {
            double factor = node.site.equals(site) && siteShare < 1 ? trouble.factor() : otherFactor;
            plan.send(trouble.atMs(), node, new ClientMessage.ArrivalRate(factor));
            plan.send(plan.endMs(trouble), node, new ClientMessage.ArrivalRate(1));
        }
    }
}
