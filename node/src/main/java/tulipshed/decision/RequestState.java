package tulipshed.decision;

import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.RequestClass;

/** One request from its arrival until its client is done and its attempt has ended. */
final class RequestState {
    final NewRequest in;
    final RequestClass kind;
    final long deadlineUs;
    /** Hash seed: one random number for each server, however often it is looked at. */
    final long dice;

    double load;
    int attempts;
    EndpointPool fleet;
    EndpointState server;
    ConnectionGroup group;
    boolean standing;
    boolean answered;
    boolean mayHaveRun;
    EndpointInfo ranOn;
    long ranAtUs;
    long sentAtUs;
    EndpointState avoid;
    EndpointState first;
    EndpointState second;
    int awaited;
    boolean asked;

    RequestState(NewRequest in, RequestClass kind, EndpointPool fleet, long now, long luck, double usualLoad) {
        this.in = in;
        this.dice = Hashing.mix(in.id() ^ luck);
        this.fleet = fleet;
        this.kind = kind;
        this.deadlineUs = now + in.timeoutUs();
        this.load = in.loadHintUsPerS() > 0 ? in.loadHintUsPerS() : usualLoad;
    }
}
