// Package deployment reads a router's configuration: the deployment's file, and the settings object in it, which the
// simulator uses as well. It checks all values, gives them defaults and maps their keys to the code's terms. Nothing
// else reads the file or the settings.
//
// Open or Read gives a File, whose methods give each part of the router its values; NewRouter makes the router that the
// settings describe. Errors are one line and wrap a KeyError, which names the key. A File is never changed: a reload
// reads a new one, and Validate checks it whole before any of it is used.
package deployment
