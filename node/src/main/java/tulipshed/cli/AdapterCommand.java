package tulipshed.cli;

import tulipshed.decision.Balancer;
import tulipshed.simadapter.Adapter;

/** {@code adapter}: runs the decision module for the simulator, over standard input and output. */
public final class AdapterCommand implements Command {
    @Override
    public String description() {
        return "runs the decision module for the simulator, over standard input and output";
    }

    @Override
    public int run() {
        return Adapter.run(System.in, System.out, System.err, Balancer::new);
    }
}
