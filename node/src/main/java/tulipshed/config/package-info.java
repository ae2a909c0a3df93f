/**
 * The configuration of a node: validation of the JSON file and its translation into {@link
 * tulipshed.config.NodeConfig} and the decision module's settings. Invalid input raises {@link
 * tulipshed.config.MalformedInputException}.
 */
package tulipshed.config;
