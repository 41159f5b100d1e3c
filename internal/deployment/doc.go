// Package deployment reads a router's configuration: the deployment's file and the settings object in it. The
// simulator's host sends the same settings object without a file. The package validates the values, applies defaults,
// and converts them to the types of the packages that use them. No other package reads the file or the settings.
//
// Open or Read returns a File, whose methods return the values for each part of the router; NewRouter creates the
// router that the settings describe. Errors consist of one line and wrap a KeyError, which names the key. A File is
// immutable: a reload opens a new File and validates it before any of its values is used.
package deployment
