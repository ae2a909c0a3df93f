/** What decides in an emulated node: the real module, the real core, and what they are compared with. */
package tulipshed.emulator.policy;
