/** Messages between the nodes of one tier, as UDP datagrams. */
package tulipshed.peer;
