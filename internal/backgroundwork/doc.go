// Package backgroundwork runs the work that routers share in the background: refreshing copies ahead of their end and
// health checks. It connects the control goroutine and the cores of refresh, health reports and the job scheduler to
// the service, which carries the jobs out. It makes no routing decision.
//
// All calls come under the service's lock, but for the control goroutine's, which stay in package control. The
// service reports what it sees and calls Tick some tens of times a second.
package backgroundwork
