package tulipshed.command;

import tulipshed.config.NodeConfig;

/** Reads the configuration that serve would read, and says whether it is sound. */
public final class CheckCommand implements Command {
    @Override
    public int run() {
        NodeConfig config = NodeConfig.load(System.getenv());
        System.out.println("configuration of " + config.name() + " is sound: " + config.settings().classes().size()
                + " classes, " + config.settings().tenants().size() + " tenants, "
                + config.knownServers().size() + " pool members known");
        return 0;
    }
}
