// Package faults implements scripts of faults: it parses and formats them, generates and mutates them, searches for
// scripts that reach new situations, and shrinks scripts that fail. It does no I/O and injects no faults itself.
//
// A script is text with one line for each fault: the time, the kind with its targets, then the magnitude (x and a
// number) and the span (after "for") of kinds that have them. Times and spans are in seconds. Empty lines and lines
// that begin with # are skipped.
//
//	12.350s drain cache-4 for 5s
//	12.600s purge group-17
//	12.700s origin slow x4 for 9s
//
// The lines of a Script are sorted by time. All random numbers come from seeds: the same seed gives the same scripts.
// A change to the order of the draws changes the script of each seed.
package faults
