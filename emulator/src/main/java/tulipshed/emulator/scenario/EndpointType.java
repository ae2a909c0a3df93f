package tulipshed.emulator.scenario;

/**
 * A machine type of endpoints.
 *
 * @param name name of the type, as in the endpoint list
 * @param count number of endpoints of the type
 * @param cores cores of one endpoint
 * @param speed speed of a core, 1 being usual
 * @param weight the endpoint's weight in the endpoint list
 */
public record EndpointType(String name, int count, int cores, double speed, double weight) {}
