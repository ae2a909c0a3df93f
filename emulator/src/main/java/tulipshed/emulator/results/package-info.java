/** Results of runs as columnar files that other tools read as well: Parquet with zstd, written and read by DuckDB. */
package tulipshed.emulator.results;
