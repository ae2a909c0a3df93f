/**
 * The operators' routing rules: they classify requests by class, tenant and group, and assign the pool of endpoints that must
 * serve each. Does no I/O.
 */
package tulipshed.routing;
