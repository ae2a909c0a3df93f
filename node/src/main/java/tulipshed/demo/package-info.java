/** Stand-ins for endpoints and for discovery, with which {@code demo} shows a node at work. */
package tulipshed.demo;
