// Package system runs entire deployments on a network in memory and on virtual time: routers as package service runs
// them, caches, parents, the origin, discovery and clients. A script of faults is played against a deployment while
// package invariants checks the routers' rules.
//
// New sets one deployment up and Simulation.Run plays it; a Campaign plays many, one for each seed, and reports what
// they have reached and found. One seed and one script give the same history on each run.
//
// Caches, parents, the origin, discovery and clients are simulated after the public pages of their protocols. A
// router's own word proves nothing: events for the checker come from the other side of what happened.
package system
