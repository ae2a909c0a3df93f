/** The lab's command line. */
package tulipshed.lab.tool;
