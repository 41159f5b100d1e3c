// Package backgroundwork runs the work that routers share in the background: refreshing copies before they become
// stale, and health checks. Each job runs on the router that holds the job's lease. The package connects the control
// goroutine (package control), background/refresh, cluster/health and background/scheduler to internal/service, which
// executes the jobs. It makes no routing decisions.
//
// The package also passes answered requests and purges from the service to the directory of cached objects, and
// recovered records, located copies and the fleet size to the router.
//
// In the comments of this package, the router is the routing.Router, and this router is the whole process.
//
// All methods of a Manager must be called under the service's lock. The control goroutine runs outside of this lock.
// The service reports answered requests, purges and the results of health checks, and calls Tick some tens of times
// per second.
package backgroundwork
