/**
 * The warm-up of a newly started process: before it accepts clients, it serves synthetic exchanges through a separate
 * frontend, proxy core and decision module, which are discarded afterwards, over in-memory connections and in virtual
 * time. The virtual machine has thus normally linked and compiled the request path before the first client connects; a
 * timeout bounds the wait.
 */
package tulipshed.warmup;
