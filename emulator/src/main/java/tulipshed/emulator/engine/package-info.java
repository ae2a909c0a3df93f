/** Virtual time: parts that send each other messages, run on any number of threads with the same result. */
package tulipshed.emulator.engine;
