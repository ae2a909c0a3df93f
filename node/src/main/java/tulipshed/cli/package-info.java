/**
 * The command line: the sub-commands of {@code tulipshed}, and the node that {@code serve} runs.
 *
 * <p>{@link tulipshed.cli.Main} dispatches to one {@code Command} per sub-command and maps errors to exit codes. {@code
 * Node} connects the other packages: {@code NodeAssembly} builds the components, {@code NodeStartup} brings them into
 * service, and {@code HotRestartMonitor}, {@code ConfigurationReload} and {@code GracefulShutdown} each handle one
 * later phase. All components of a node are confined to its event-loop thread.
 */
package tulipshed.cli;
