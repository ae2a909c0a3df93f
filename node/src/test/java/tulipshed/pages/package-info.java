/** Holds the pages of the repository to the code that they describe: links, names of files and packages, log lines, spelling. */
package tulipshed.pages;
