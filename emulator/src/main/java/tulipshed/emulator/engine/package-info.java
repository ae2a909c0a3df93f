/**
 * A parallel discrete-event simulation: actors that exchange messages in virtual time, run on any number of threads with the
 * same result.
 *
 * <p>Virtual time is in milliseconds, as a {@code double}; names of times and durations end in {@code Ms}. The package uses
 * the Java library only and knows nothing of what is simulated: the model defines its actors and their payloads.
 */
package tulipshed.emulator.engine;
