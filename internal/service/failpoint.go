package service

// Failpoints are faults that a test can enable to show that the simulation's search for faults finds them. They are
// implemented by failpoint_on.go, which is compiled only with the build tag 'planted'. Without the tag, the hooks in
// failpoint_off.go do nothing and are inlined. The callers of the hooks are:
//
//	Purge            failpoints.shouldDropPurge
//	UpdateEndpoints  failpoints.delayDrains
//	CaughtUp         failpoints.pollEnded
//	turn             failpoints.releaseDrains
//	outcomeOf        retryAfterConnectionLoss
