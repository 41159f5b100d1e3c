// Package deployment reads a router's configuration: the deployment's file, and the settings object in it, which
// the simulator uses as well. It validates all values, applies defaults, and maps the keys to the code's terms. No
// other package reads the file or the settings.
//
// Open or Read returns a File, whose methods return the values for each part of the router; NewRouter creates the
// router that the settings describe. Errors consist of one line and wrap a KeyError, which names the key. A File is
// immutable: a reload reads a new one, and Validate checks it completely before any of it is used.
package deployment
