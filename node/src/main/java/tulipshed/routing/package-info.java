/** What the operators' rules make of a request: its class, tenant and group, and the pool of endpoints that it is held to. Does no I/O. */
package tulipshed.routing;
