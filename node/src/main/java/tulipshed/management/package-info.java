/**
 * The management server: status and metrics of the node over HTTP/1.1, on its own address. Paths and metric names
 * are part of the public interface and must not change.
 */
package tulipshed.management;
