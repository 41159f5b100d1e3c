// Package faults holds scripts of faults: it reads and writes them as text, generates and mutates them, searches for
// those that reach new situations, and shrinks those that fail. It is free of I/O, and does not carry a fault out.
//
// A script is text, one line for each fault: its time, its kind with what it befalls, its magnitude and its span. Empty
// lines and those that begin with # are skipped.
//
//	12.350s drain cache-4 for 5s
//	12.600s purge group-17
//	12.700s origin slow x4 for 9s
//
// The lines of a Script are in the order of time. All random numbers come from seeds: the same seed gives the same
// scripts.
package faults
