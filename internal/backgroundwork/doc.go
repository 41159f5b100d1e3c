// Package backgroundwork runs the work that routers share in the background: refreshing copies before they become
// stale, and health checks. It connects the control goroutine and the cores of refresh, health reports and the job
// scheduler to internal/service, which executes the jobs. It makes no routing decisions.
//
// A Manager is guarded by the service's lock: all methods must be called under it. The control goroutine runs
// outside this lock, in package control. The service reports what it observes and calls Tick some tens of times per
// second.
package backgroundwork
