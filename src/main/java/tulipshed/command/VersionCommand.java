package tulipshed.command;

/** Prints the version that the build wrote into the program. */
public final class VersionCommand implements Command {
    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("tulipshed " + (version == null ? "of an unpacked build" : version));
        return 0;
    }
}
