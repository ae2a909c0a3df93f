/**
 * The warm-up of a process that has just started: before it accepts clients, it serves exchanges of its own through a
 * frontend, a core and a decision module that are discarded afterwards, over connections in memory and in virtual time. So
 * the virtual machine has linked and compiled what a request needs before the first client comes.
 */
package tulipshed.warmup;
