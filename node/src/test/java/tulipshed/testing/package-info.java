/** Fixtures that tests of several packages share: processes, sockets, configuration files, malformed input. */
package tulipshed.testing;
