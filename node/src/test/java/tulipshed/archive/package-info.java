/** Plays traffic of every kind through a node's process: for its class archive, and to count what the archive lacks. */
package tulipshed.archive;
