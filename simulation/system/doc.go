// Package system simulates entire deployments on a network in memory and on virtual time: routers as package service
// runs them, caches, parents, the origin, discovery and clients. It injects the faults of a script while package
// invariants checks the routers' rules.
//
// New sets up one deployment and Simulation.Run runs it. A Campaign runs many simulations, one for each seed, and
// reports which situations they have reached and which failures they have found. The same seed and script give the
// same sequence of events.
//
// Caches, parents, the origin, discovery and clients are simulated as the public pages of their protocols describe
// them. The checker does not rely on what routers report about themselves: its events come from the simulated
// clients, machines and discovery.
package system
