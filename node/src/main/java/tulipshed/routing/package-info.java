/**
 * The operators' routing rules, which assign to requests a class, a tenant, a group and the pool of endpoints that must serve
 * them. Does no I/O.
 */
package tulipshed.routing;
