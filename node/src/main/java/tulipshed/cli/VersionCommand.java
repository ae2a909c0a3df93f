package tulipshed.cli;

/** {@code version}: prints the version. */
public final class VersionCommand implements Command {
    @Override
    public String description() {
        return "prints the version";
    }

    @Override
    public int run() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("tulipshed " + (version == null ? "(unpackaged build)" : version));
        return ExitCode.SUCCESS;
    }
}
